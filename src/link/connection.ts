/**
 * One open connection. Its task reads frames in a loop; asks that wait for a reply are kept by
 * number. Something between two ends may lose track of a connection, which then is silent for good:
 * while a reply is awaited the connection is pinged, and silence past a limit closes it, so that the
 * next ask opens a new one. An idle connection is pinged now and then, which costs next to nothing.
 */
import type { Socket } from 'node:net'
import { type Clock, Err, Ok, type Result } from '../contract/index.ts'
import { LinkFailure, type LinkIdentity, type MessageType } from './contract.ts'
import { encodeFrame, type Frame, type FrameFault, FrameKind } from './frames.ts'

/** Milliseconds without a frame after which a connection that should answer is closed. */
export const busySilenceTimeoutMilliseconds = 1_500
const busyPingIntervalMilliseconds = 500
const idlePingIntervalMilliseconds = 10_000
const idleSilenceTimeoutMilliseconds = 15_000
/** Bytes that may wait to be sent before further asks are refused. */
const maximumSendQueueBytes = 8 * 1024 * 1024

/** Answers an ask: the reply's body, or why it is refused. */
export type RequestHandler = (type: string, body: unknown, from: LinkIdentity) => Promise<Result<unknown, LinkFailure>>

/** What a connection is made of. */
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
  #isOpen = true

  constructor ({ socket, peer, clock, handler }: ConnectionOptions) {
    this.#socket = socket
    this.peer = peer
    this.#clock = clock
    this.#handler = handler
    this.#lastReceivedAt = clock.now()
    this.#lastPingAt = clock.now()
  }

  /** Whether asks may be sent over it. */
  get isOpen (): boolean {
    return this.#isOpen
  }

  /** Asks of the other end that are being answered. */
  get activeRequests (): number {
    return this.#activeRequests
  }

  /** The connection's task: reads frames until the connection ends, then fails what still waits. */
  async run (frames: AsyncIterable<Result<Frame, FrameFault>>): Promise<void> {
    let reason = 'the connection ended'
    for await (const frame of frames) {
      this.#lastReceivedAt = this.#clock.now()
      if (frame.err) {
        reason = frame.val.reason
        break
      }
      this.#receive(frame.val)
    }
    this.close(reason)
  }

  /** Sends an ask and waits for its reply. */
  async request<Body, Reply> (type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number): Promise<Result<Reply, LinkFailure>> {
    if (!this.#isOpen) return Err(new LinkFailure('the connection is closed', false))
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

  /** Pings where that is due, and closes the connection where it has been silent for too long. */
  tick (now: number): void {
    const isBusy = this.#pending.size > 0
    if (now - this.#lastReceivedAt > (isBusy ? busySilenceTimeoutMilliseconds : idleSilenceTimeoutMilliseconds)) return this.close('the connection went silent')
    const quietMilliseconds = now - Math.max(this.#lastReceivedAt, this.#lastPingAt)
    if (quietMilliseconds < (isBusy ? busyPingIntervalMilliseconds : idlePingIntervalMilliseconds)) return
    this.#lastPingAt = now
    this.#send({ kind: FrameKind.Ping })
  }

  /** Closes the connection; asks that wait for a reply may have arrived. */
  close (reason: string): void {
    if (!this.#isOpen) return
    this.#isOpen = false
    this.#socket.destroy()
    for (const id of [...this.#pending.keys()]) this.#fail(id, reason)
  }

  /** Sends what is queued, then closes. */
  async end (): Promise<void> {
    if (!this.#isOpen) return
    await new Promise<void>(resolve => this.#socket.end(resolve))
    this.close('the link is closing')
  }

  /** The wait for the time-out is not cut short by a reply: that would cost more than the wait. */
  #awaitReply (id: number, timeoutMilliseconds: number): Promise<Result<unknown, LinkFailure>> {
    this.#clock.sleep(timeoutMilliseconds).then(() => this.#fail(id, `no reply within ${timeoutMilliseconds} ms`))
    return new Promise(resolve => this.#pending.set(id, resolve))
  }

  #resolve (id: number, outcome: Result<unknown, LinkFailure>): void {
    const resolveReply = this.#pending.get(id)
    this.#pending.delete(id)
    resolveReply?.(outcome)
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
    if (outcome.err) return this.#send({ kind: FrameKind.Refusal, id, reason: outcome.val.reason, handled: false })
    this.#send({ kind: FrameKind.Reply, id, body: outcome.val })
  }

  #send (frame: Frame): void {
    if (!this.#isOpen || this.#socket.writableLength > maximumSendQueueBytes) return
    const bytes = encodeFrame(frame)
    if (bytes.ok) this.#socket.write(bytes.val)
    else if (frame.kind === FrameKind.Reply) this.#send({ kind: FrameKind.Refusal, id: frame.id, reason: bytes.val.reason, handled: true })
  }
}
