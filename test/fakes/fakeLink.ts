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
  delay: (from: LinkIdentity, to: LinkIdentity) => number
  /** The share of messages that are lost, each way. */
  loss: (from: LinkIdentity, to: LinkIdentity) => number
}

type Answer = (body: unknown, from: LinkIdentity) => Promise<Result<unknown, LinkFailure>>

export class FakeNetwork {
  readonly conditions: NetworkConditions = { delay: () => 0.5, loss: () => 0 }
  /** Asks sent so far, by type. */
  readonly sent = new Map<string, number>()
  readonly #clock: Clock
  readonly #randomness: Randomness
  readonly #links = new Map<string, FakeLink>()
  readonly #cuts = new Set<string>()
  readonly #thaws = new Map<string, { readonly thawed: Promise<void>, readonly thaw: () => void }>()

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
        if (!signal?.aborted) await this.#thaws.get(name)?.thawed
      }
    }
  }

  /** Stops a member between two of its steps; what is sent to it waits. */
  freeze (name: string): void {
    if (this.#thaws.has(name)) return
    let thaw: () => void = () => undefined
    const thawed = new Promise<void>(resolve => { thaw = resolve })
    this.#thaws.set(name, { thawed, thaw })
  }

  thaw (name: string): void {
    const frozen = this.#thaws.get(name)
    this.#thaws.delete(name)
    frozen?.thaw()
  }

  /** Takes a daemon off the network at once. */
  remove (address: string): void {
    this.#links.delete(address)
  }

  /** Separates two data centres. */
  cut (left: string, right: string): void {
    this.#cuts.add(cutKey(left, right))
  }

  heal (left: string, right: string): void {
    this.#cuts.delete(cutKey(left, right))
  }

  /** Carries a message one way. */
  async carry (from: LinkIdentity, to: LinkIdentity): Promise<boolean> {
    await this.#thaws.get(from.name)?.thawed
    if (this.#isLost(from, to)) return false
    await this.#clock.sleep(this.conditions.delay(from, to))
    await this.#thaws.get(to.name)?.thawed
    return !this.#cuts.has(cutKey(from.place.dataCentre, to.place.dataCentre))
  }

  at (address: string): FakeLink | undefined {
    return this.#links.get(address)
  }

  count (type: string): void {
    this.sent.set(type, (this.sent.get(type) ?? 0) + 1)
  }

  #isLost (from: LinkIdentity, to: LinkIdentity): boolean {
    if (this.#cuts.has(cutKey(from.place.dataCentre, to.place.dataCentre))) return true
    return this.#randomness.fraction() < this.conditions.loss(from, to)
  }
}

export class FakeLink implements Link {
  readonly self: LinkIdentity
  readonly #network: FakeNetwork
  readonly #clock: Clock
  readonly #answers = new Map<string, Answer>()

  constructor (self: LinkIdentity, network: FakeNetwork, clock: Clock) {
    this.self = self
    this.#network = network
    this.#clock = clock
  }

  async request<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number): Promise<Result<Reply, LinkFailure>> {
    this.#network.count(type.name)
    const done = new AbortController()
    const late = this.#clock.sleep(timeoutMilliseconds, done.signal).then(() => Err(new LinkFailure('no reply in time', true)))
    const outcome = await Promise.race([this.#exchange(peer, type, body), late])
    done.abort()
    return outcome
  }

  handle<Body, Reply> (type: MessageType<Body, Reply>, handler: (body: Body, from: LinkIdentity) => Promise<Reply>): void {
    this.#answers.set(type.name, async (body, from) => {
      const checked = type.body.safeParse(body)
      if (!checked.success) return Err(new LinkFailure(`the body of ${type.name} is malformed`, false))
      return Ok(await handler(checked.data, from))
    })
  }

  async #exchange<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body): Promise<Result<Reply, LinkFailure>> {
    const target = this.#network.at(peer.address)
    if (target === undefined) return Err(new LinkFailure('nothing listens there', false))
    const copy = structuredClone(body)
    if (!await this.#network.carry(this.self, target.self)) return never()
    const answer = target.#answers.get(type.name)
    if (answer === undefined) return Err(new LinkFailure(`unknown message type ${type.name}`, false))
    const reply = await answer(copy, this.self)
    if (!await this.#network.carry(target.self, this.self)) return never()
    if (reply.err) return reply
    const checked = type.reply.safeParse(structuredClone(reply.val))
    return checked.success ? Ok(checked.data) : Err(new LinkFailure('the reply is malformed', true))
  }
}

/** A message that was lost: nothing comes back. */
function never (): Promise<never> {
  return new Promise(() => undefined)
}

function cutKey (left: string, right: string): string {
  return [left, right].sort().join(' | ')
}
