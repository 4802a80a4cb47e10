/**
 * A network of daemons within one process. A test scripts its delay, its loss, cuts between data
 * centres, frozen members and members that are gone. Bodies are copied and checked on the way, as
 * over a real link.
 */
import { type Clock, Err, Ok, type Randomness, type Result } from '../../src/contract/index.ts'
import { type Link, LinkFailure, type LinkIdentity, type MessageType, type Peer } from '../../src/link/index.ts'

/** How the network treats messages. */
export interface NetworkConditions {
  /** Milliseconds one way. */
  delayMilliseconds: (from: LinkIdentity, to: LinkIdentity) => number
  /** The share of messages that are lost, each way. */
  lossRate: (from: LinkIdentity, to: LinkIdentity) => number
}

type MessageHandler = (body: unknown, from: LinkIdentity) => Promise<Result<unknown, LinkFailure>>

export class FakeLinkNetwork {
  readonly conditions: NetworkConditions = { delayMilliseconds: () => 0.5, lossRate: () => 0 }
  /** Asks sent so far, by type. */
  readonly requestCounts = new Map<string, number>()
  readonly #clock: Clock
  readonly #randomness: Randomness
  readonly #links = new Map<string, FakeLink>()
  readonly #partitions = new Set<string>()
  readonly #frozenMembers = new Map<string, { readonly thawed: Promise<void>, readonly thaw: () => void }>()

  constructor (clock: Clock, randomness: Randomness) {
    this.#clock = clock
    this.#randomness = randomness
  }

  /** The link of a daemon; a later link with the same address replaces the earlier, as a restarted process does. */
  linkFor (identity: LinkIdentity): FakeLink {
    const link = new FakeLink(identity, this, this.clockFor(identity.name))
    this.#links.set(identity.address, link)
    return link
  }

  /** A member's clock: its sleeps do not end while the member is frozen. */
  clockFor (name: string): Clock {
    return {
      now: () => this.#clock.now(),
      sleep: async (milliseconds, signal) => {
        await this.#clock.sleep(milliseconds, signal)
        if (!signal?.aborted) await this.#frozenMembers.get(name)?.thawed
      }
    }
  }

  /** Stops a member between two of its steps; what is sent to it waits. */
  freeze (name: string): void {
    if (this.#frozenMembers.has(name)) return
    let thaw: () => void = () => undefined
    const thawed = new Promise<void>(resolve => { thaw = resolve })
    this.#frozenMembers.set(name, { thawed, thaw })
  }

  thaw (name: string): void {
    const frozen = this.#frozenMembers.get(name)
    this.#frozenMembers.delete(name)
    frozen?.thaw()
  }

  /** Takes a daemon off the network at once. */
  remove (address: string): void {
    this.#links.delete(address)
  }

  /** Separates two data centres. */
  partition (left: string, right: string): void {
    this.#partitions.add(pairKey(left, right))
  }

  heal (left: string, right: string): void {
    this.#partitions.delete(pairKey(left, right))
  }

  /** Carries a message one way. */
  async deliver (from: LinkIdentity, to: LinkIdentity): Promise<boolean> {
    await this.#frozenMembers.get(from.name)?.thawed
    if (this.#isLost(from, to)) return false
    await this.#clock.sleep(this.conditions.delayMilliseconds(from, to))
    await this.#frozenMembers.get(to.name)?.thawed
    return !this.#partitions.has(pairKey(from.place.dataCentre, to.place.dataCentre))
  }

  linkAt (address: string): FakeLink | undefined {
    return this.#links.get(address)
  }

  countRequest (type: string): void {
    this.requestCounts.set(type, (this.requestCounts.get(type) ?? 0) + 1)
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

  constructor (self: LinkIdentity, network: FakeLinkNetwork, clock: Clock) {
    this.self = self
    this.#network = network
    this.#clock = clock
  }

  async request<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number): Promise<Result<Reply, LinkFailure>> {
    this.#network.countRequest(type.name)
    const settled = new AbortController()
    const timeout = this.#clock.sleep(timeoutMilliseconds, settled.signal).then(() => Err(new LinkFailure('no reply in time', true)))
    const outcome = await Promise.race([this.#exchange(peer, type, body), timeout])
    settled.abort()
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
    if (target === undefined) return Err(new LinkFailure('nothing listens there', false))
    const copy = structuredClone(body)
    if (!await this.#network.deliver(this.self, target.self)) return neverSettles()
    const handler = target.#handlers.get(type.name)
    if (handler === undefined) return Err(new LinkFailure(`unknown message type ${type.name}`, false))
    const reply = await handler(copy, this.self)
    if (!await this.#network.deliver(target.self, this.self)) return neverSettles()
    if (reply.err) return reply
    const parsed = type.reply.safeParse(structuredClone(reply.val))
    return parsed.success ? Ok(parsed.data) : Err(new LinkFailure('the reply is malformed', true))
  }
}

/** A message that was lost: nothing comes back. */
function neverSettles (): Promise<never> {
  return new Promise(() => undefined)
}

function pairKey (left: string, right: string): string {
  return [left, right].sort().join(' | ')
}
