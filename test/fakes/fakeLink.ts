/**
 * An in-process network between daemons. Tests control message delay and loss, partitions between
 * data centres, frozen members, removed members and connections that fall silent. Bodies are copied and validated in transit, as
 * over a real link.
 */
import { type Clock, Err, Ok, type Randomness, type Result, withReplyTimeout } from '../../src/contract/index.ts'
import { FrameKind, encodeFrame } from '../../src/link/frames.ts'
import { type Link, LinkFailure, type LinkIdentity, type MessageType, type Peer } from '../../src/link/index.ts'

/** Delay and loss of messages, by sender and receiver. */
export interface NetworkConditions {
  /** One-way delay. */
  delayMilliseconds: (from: LinkIdentity, to: LinkIdentity) => number
  /** Probability, 0 to 1, that a message is lost in this direction. */
  lossRate: (from: LinkIdentity, to: LinkIdentity) => number
  /** Time that a daemon needs to connect to a peer before its first message. */
  connectMilliseconds: number
}

type MessageHandler = (body: unknown, from: LinkIdentity) => Promise<Result<unknown, LinkFailure>>

export class FakeLinkNetwork {
  readonly conditions: NetworkConditions = { delayMilliseconds: () => 0.5, lossRate: () => 0, connectMilliseconds: 0 }
  /** Requests sent so far, by message type. */
  readonly requestCounts = new Map<string, number>()
  /** Whether the bytes of messages are counted. */
  countsBytes = false
  /** Bytes of requests and replies as frames, by message type. */
  readonly frameBytes = new Map<string, number>()
  readonly #clock: Clock
  readonly #randomness: Randomness
  readonly #links = new Map<string, FakeLink>()
  readonly #partitions = new Set<string>()
  readonly #frozenMembers = new Map<string, { readonly thawed: Promise<void>, readonly thaw: () => void, readonly since: number }>()
  /** Milliseconds for which members were frozen before. */
  readonly #endedFreezes = new Map<string, number>()

  constructor (clock: Clock, randomness: Randomness) {
    this.#clock = clock
    this.#randomness = randomness
  }

  /** Creates the link of a daemon. A later link with the same address replaces the earlier one, as after a restart. */
  linkFor (identity: LinkIdentity): FakeLink {
    const link = new FakeLink(identity, this, this.clockFor(identity.name))
    this.#links.set(identity.address, link)
    return link
  }

  /** The clock of a member: its sleeps don't end while the member is frozen, which counts as time in which it was held up. */
  clockFor (name: string): Clock {
    const scheduleAfter = (untilCalled: () => Promise<unknown>): Clock['schedule'] => (milliseconds, callback) => {
      let isCancelled = false
      const callOnceThawed = async () => {
        if (this.#frozenMembers.has(name)) await untilCalled()
        if (!isCancelled) callback()
      }
      const cancel = this.#clock.schedule(milliseconds, () => { callOnceThawed().catch(() => undefined) })
      return () => {
        isCancelled = true
        cancel()
      }
    }
    const untilThawed = async () => await this.#frozenMembers.get(name)?.thawed
    const untilInputIsRead = async () => await this.#untilRead(name).then(nextTurn)
    return {
      now: () => this.#clock.now(),
      sleep: async (milliseconds, signal) => {
        await this.#clock.sleep(milliseconds, signal)
        if (!signal?.aborted) await untilThawed()
      },
      schedule: scheduleAfter(untilThawed),
      scheduleAfterInput: scheduleAfter(untilInputIsRead),
      heldUpMilliseconds: () => this.#clock.heldUpMilliseconds() + this.#frozenMilliseconds(name)
    }
  }

  /** Suspends a member at its next sleep or message; messages to it are held until it is thawed. */
  freeze (name: string): void {
    if (this.#frozenMembers.has(name)) return
    let thaw: () => void = () => undefined
    const thawed = new Promise<void>(resolve => { thaw = resolve })
    this.#frozenMembers.set(name, { thawed, thaw, since: this.#clock.now() })
  }

  thaw (name: string): void {
    const frozen = this.#frozenMembers.get(name)
    this.#endedFreezes.set(name, this.#frozenMilliseconds(name))
    this.#frozenMembers.delete(name)
    frozen?.thaw()
  }

  /** Closes all connections; the next messages need new ones. */
  disconnect (): void {
    for (const link of this.#links.values()) link.forgetConnections()
  }

  /** Makes all open connections carry nothing more; each is replaced after a request over it timed out. */
  silenceConnections (): void {
    for (const link of this.#links.values()) link.silenceConnections()
  }

  /** Removes a daemon from the network at once. */
  remove (address: string): void {
    this.#links.delete(address)
  }

  /** Partitions two data centres from each other until `heal`. */
  partition (left: string, right: string): void {
    this.#partitions.add(pairKey(left, right))
  }

  heal (left: string, right: string): void {
    this.#partitions.delete(pairKey(left, right))
  }

  /**
   * Delivers a message in one direction.
   *
   * @returns false if it was lost
   */
  async deliver (from: LinkIdentity, to: LinkIdentity): Promise<boolean> {
    await this.#frozenMembers.get(from.name)?.thawed
    if (this.#isLost(from, to)) return false
    await this.#clock.sleep(this.conditions.delayMilliseconds(from, to))
    await this.#untilRead(to.name)
    return !this.#partitions.has(pairKey(from.place.dataCentre, to.place.dataCentre))
  }

  linkAt (address: string): FakeLink | undefined {
    return this.#links.get(address)
  }

  countRequest (type: string): void {
    this.requestCounts.set(type, (this.requestCounts.get(type) ?? 0) + 1)
  }

  countBytes (type: string, body: unknown): void {
    if (!this.countsBytes) return
    const frame = encodeFrame({ kind: FrameKind.Request, id: 1, type, body })
    this.frameBytes.set(type, (this.frameBytes.get(type) ?? 0) + frame.unwrap().length)
  }

  /** A member that is thawed runs the timers that are due before it reads what has arrived. */
  async #untilRead (name: string): Promise<void> {
    const frozen = this.#frozenMembers.get(name)
    if (frozen !== undefined) await frozen.thawed.then(nextTurn)
  }

  #frozenMilliseconds (name: string): number {
    const now = this.#clock.now()
    return (this.#endedFreezes.get(name) ?? 0) + now - (this.#frozenMembers.get(name)?.since ?? now)
  }

  #isLost (from: LinkIdentity, to: LinkIdentity): boolean {
    if (this.#partitions.has(pairKey(from.place.dataCentre, to.place.dataCentre))) return true
    return this.#randomness.fraction() < this.conditions.lossRate(from, to)
  }
}

export class FakeLink implements Link {
  readonly self: LinkIdentity
  readonly #network: FakeLinkNetwork
  readonly #clock: Clock
  readonly #handlers = new Map<string, MessageHandler>()
  readonly #connections = new Map<string, { isSilent: boolean }>()

  constructor (self: LinkIdentity, network: FakeLinkNetwork, clock: Clock) {
    this.self = self
    this.#network = network
    this.#clock = clock
  }

  forgetConnections (): void {
    this.#connections.clear()
  }

  silenceConnections (): void {
    for (const connection of this.#connections.values()) connection.isSilent = true
  }

  async connect ({ address }: Peer): Promise<void> {
    const { connectMilliseconds } = this.#network.conditions
    if (connectMilliseconds > 0 && !this.#connections.has(address)) await this.#clock.sleep(connectMilliseconds)
    if (!this.#connections.has(address)) this.#connections.set(address, { isSilent: false })
  }

  async request<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number): Promise<Result<Reply, LinkFailure>> {
    this.#network.countRequest(type.name)
    this.#network.countBytes(type.name, body)
    const reply = await withReplyTimeout(this.#clock, timeoutMilliseconds, this.#exchange(peer, type, body))
    const outcome = reply ?? Err(new LinkFailure('no reply in time', true))
    if (outcome.err && this.#connections.get(peer.address)?.isSilent) this.#connections.delete(peer.address)
    return outcome
  }

  handle<Body, Reply> (type: MessageType<Body, Reply>, handler: (body: Body, from: LinkIdentity) => Promise<Reply>): void {
    this.#handlers.set(type.name, async (body, from) => {
      const parsed = type.body.safeParse(body)
      if (!parsed.success) return Err(new LinkFailure(`the body of ${type.name} is malformed`, false))
      return Ok(await handler(parsed.data, from))
    })
  }

  async #exchange<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body): Promise<Result<Reply, LinkFailure>> {
    const target = this.#network.linkAt(peer.address)
    if (target === undefined) return Err(new LinkFailure('no daemon listens at the address', false))
    const copy = structuredClone(body)
    await this.connect(peer)
    const connection = this.#connections.get(peer.address)
    if (connection?.isSilent) return neverSettles()
    if (!await this.#network.deliver(this.self, target.self)) return neverSettles()
    const handler = target.#handlers.get(type.name)
    if (handler === undefined) return Err(new LinkFailure(`unknown message type ${type.name}`, false))
    const reply = await handler(copy, this.self)
    if (!await this.#network.deliver(target.self, this.self) || connection?.isSilent) return neverSettles()
    if (reply.err) return reply
    this.#network.countBytes(type.name, reply.val)
    const parsed = type.reply.safeParse(structuredClone(reply.val))
    return parsed.success ? Ok(parsed.data) : Err(new LinkFailure('the reply is malformed', true))
  }
}

/** The pending reply to a lost message. */
function neverSettles (): Promise<never> {
  return new Promise(() => undefined)
}

function nextTurn (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}

function pairKey (left: string, right: string): string {
  return [left, right].sort().join(' | ')
}
