/**
 * An open connection. A loop reads its frames; pending requests are kept by id. A middlebox may drop a
 * connection's state, after which the connection stays silent. Therefore the connection is pinged while
 * a reply is awaited and closed after a silence timeout, so that the next request opens a new one. An idle
 * connection is pinged at a longer interval, at negligible cost.
 *
 * Many requests have shorter timeouts than that. One that ends without a reply, while nothing at all was received since it
 * was sent, makes the connection take no further requests: the next one opens a new connection.
 */
import type { Socket } from 'node:net'
import { type Clock, Err, Ok, type Result } from '../contract/index.ts'
import { LinkFailure, type LinkIdentity, type MessageType } from './contract.ts'
import { encodeFrame, type Frame, type FrameFault, FrameKind } from './frames.ts'

/** Milliseconds without a frame after which a connection with pending requests is closed. */
export const busySilenceTimeoutMilliseconds = 1_500
const busyPingIntervalMilliseconds = 500
const idlePingIntervalMilliseconds = 10_000
const idleSilenceTimeoutMilliseconds = 15_000
/** Bytes queued for sending above which further requests are refused. */
const maximumSendQueueBytes = 8 * 1024 * 1024

/** Handles a request: returns the reply's body, or why the request is refused. */
export type RequestHandler = (type: string, body: unknown, from: LinkIdentity) => Promise<Result<unknown, LinkFailure>>

export interface ConnectionOptions {
  readonly socket: Socket
  readonly peer: LinkIdentity
  readonly clock: Clock
  readonly handler: RequestHandler
}

type ResolveReply = (outcome: Result<unknown, LinkFailure>) => void

export class Connection {
  readonly peer: LinkIdentity
  readonly #socket: Socket
  readonly #clock: Clock
  readonly #handler: RequestHandler
  readonly #pending = new Map<number, ResolveReply>()
  #nextId = 1
  #activeRequests = 0
  #lastReceivedAt: number
  #lastPingAt: number
  #receivedFrames = 0
  #isOpen = true
  /** Whether a request timed out in silence. */
  #isSuspect = false

  constructor ({ socket, peer, clock, handler }: ConnectionOptions) {
    this.#socket = socket
    this.peer = peer
    this.#clock = clock
    this.#handler = handler
    this.#lastReceivedAt = clock.now()
    this.#lastPingAt = clock.now()
  }

  /** Whether requests may be sent over the connection. */
  get acceptsRequests (): boolean {
    return this.#isOpen && !this.#isSuspect
  }

  /** Number of the peer's requests being handled. */
  get activeRequests (): number {
    return this.#activeRequests
  }

  /** Reads frames until the connection ends, then fails all pending requests. */
  async run (frames: AsyncIterable<Result<Frame, FrameFault>>): Promise<void> {
    let reason = 'the connection ended'
    for await (const frame of frames) {
      this.#lastReceivedAt = this.#clock.now()
      this.#receivedFrames++
      if (frame.err) {
        reason = frame.val.reason
        break
      }
      this.#receive(frame.val)
    }
    this.close(reason)
  }

  /** Sends a request and waits for its reply. */
  async request<Body, Reply> (type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number): Promise<Result<Reply, LinkFailure>> {
    if (!this.acceptsRequests) return Err(new LinkFailure('the connection is closed', false))
    const id = this.#nextId++
    const frame = encodeFrame({ kind: FrameKind.Request, id, type: type.name, body })
    if (frame.err) return Err(new LinkFailure(frame.val.reason, false))
    if (this.#socket.writableLength > maximumSendQueueBytes) return Err(new LinkFailure('the connection\'s send queue is full', false))
    const isFirst = this.#pending.size === 0
    const outcome = this.#awaitReply(id, timeoutMilliseconds)
    if (isFirst) this.#lastReceivedAt = this.#lastPingAt = this.#clock.now()
    this.#socket.write(frame.val)
    const reply = await outcome
    if (reply.err) return reply
    const checked = type.reply.safeParse(reply.val)
    if (!checked.success) return Err(new LinkFailure(`the reply to ${type.name} is malformed`, true))
    return Ok(checked.data)
  }

  /**
   * Sends a ping if one is due, or closes the connection if it has been silent for too long.
   *
   * @param lateMilliseconds by how much this call is late: in that time this process could neither ping nor hear
   */
  tick (now: number, lateMilliseconds: number): void {
    this.#lastReceivedAt = Math.min(now, this.#lastReceivedAt + lateMilliseconds)
    const isBusy = this.#pending.size > 0
    if (now - this.#lastReceivedAt > (isBusy ? busySilenceTimeoutMilliseconds : idleSilenceTimeoutMilliseconds)) return this.close('the connection went silent')
    const quietMilliseconds = now - Math.max(this.#lastReceivedAt, this.#lastPingAt)
    if (quietMilliseconds < (isBusy ? busyPingIntervalMilliseconds : idlePingIntervalMilliseconds)) return
    this.#lastPingAt = now
    this.#send({ kind: FrameKind.Ping })
  }

  /** Closes the connection. Pending requests fail as possibly delivered. */
  close (reason: string): void {
    if (!this.#isOpen) return
    this.#isOpen = false
    this.#socket.destroy()
    for (const id of [...this.#pending.keys()]) this.#fail(id, reason)
  }

  /** Sends the queued data, then closes the connection. */
  async end (): Promise<void> {
    if (!this.#isOpen) return
    await new Promise<void>(resolve => this.#socket.end(resolve))
    this.close('the link is closing')
  }

  /**
   * A reply does not cancel the timeout's timer: cancelling would cost more than letting it run. Only a request that is
   * still pending then waits until the input is read, and for the time in addition in which this process was held up.
   */
  #awaitReply (id: number, timeoutMilliseconds: number): Promise<Result<unknown, LinkFailure>> {
    const receivedBefore = this.#receivedFrames
    const heldUpBefore = this.#clock.heldUpMilliseconds()
    this.#clock.schedule(timeoutMilliseconds, () => {
      if (!this.#pending.has(id)) return
      const heldUpMilliseconds = Math.min(timeoutMilliseconds, this.#clock.heldUpMilliseconds() - heldUpBefore)
      this.#clock.scheduleAfterInput(heldUpMilliseconds, () => {
        if (this.#pending.has(id) && this.#receivedFrames === receivedBefore) this.#isSuspect = true
        this.#fail(id, `no reply within ${timeoutMilliseconds} ms`)
      })
    })
    return new Promise(resolve => this.#pending.set(id, resolve))
  }

  #resolve (id: number, outcome: Result<unknown, LinkFailure>): void {
    const resolveReply = this.#pending.get(id)
    this.#pending.delete(id)
    resolveReply?.(outcome)
    if (this.#isSuspect && this.#pending.size === 0) this.close('the connection went silent')
  }

  #fail (id: number, reason: string): void {
    if (this.#pending.has(id)) this.#resolve(id, Err(new LinkFailure(reason, true)))
  }

  #receive (frame: Frame): void {
    if (frame.kind === FrameKind.Ping) return this.#send({ kind: FrameKind.Pong })
    if (frame.kind === FrameKind.Reply) return this.#resolve(frame.id, Ok(frame.body))
    if (frame.kind === FrameKind.Refusal) return this.#resolve(frame.id, Err(new LinkFailure(frame.reason, frame.handled)))
    if (frame.kind === FrameKind.Request) this.#handleRequest(frame.id, frame.type, frame.body)
  }

  async #handleRequest (id: number, type: string, body: unknown): Promise<void> {
    this.#activeRequests += 1
    const outcome = await this.#handler(type, body, this.peer)
    this.#activeRequests -= 1
    if (outcome.err) return this.#send({ kind: FrameKind.Refusal, id, reason: outcome.val.reason, handled: outcome.val.mayHaveArrived })
    this.#send({ kind: FrameKind.Reply, id, body: outcome.val })
  }

  #send (frame: Frame): void {
    if (!this.#isOpen || this.#socket.writableLength > maximumSendQueueBytes) return
    const bytes = encodeFrame(frame)
    if (bytes.ok) this.#socket.write(bytes.val)
    else if (frame.kind === FrameKind.Reply) this.#send({ kind: FrameKind.Refusal, id: frame.id, reason: bytes.val.reason, handled: true })
  }
}
