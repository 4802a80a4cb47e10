/**
 * Links between ledgers in one process, whose messages a script loses, repeats or delays. A daemon
 * that is killed neither asks nor answers any more.
 */
import { type Clock, Err, Ok, type Result } from '../../src/contract/index.ts'
import { type Link, LinkFailure, type LinkIdentity, type MessageType, type Peer } from '../../src/link/index.ts'

/** What befalls one message. */
export const MessageFate = {
  Delivered: 'delivered',
  RequestLost: 'request_lost',
  ReplyLost: 'reply_lost',
  /** Handled twice; the second reply counts. */
  Repeated: 'repeated'
} as const
export type MessageFate = typeof MessageFate[keyof typeof MessageFate]

type Handler = (body: unknown, from: LinkIdentity) => Promise<unknown>

/** The network between ledgers. */
export class ScriptedNetwork {
  /** Says what befalls each message. */
  script: (type: string, from: string, to: string) => MessageFate = () => MessageFate.Delivered
  /** Messages asked so far, by type. */
  readonly asked = new Map<string, number>()
  readonly #clock: Clock
  readonly #links = new Map<string, ScriptedLink>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** The link of a daemon. */
  join (self: LinkIdentity): ScriptedLink {
    const link = new ScriptedLink(self, this, this.#clock)
    this.#links.set(self.address, link)
    return link
  }

  /** Takes a daemon off the network. */
  kill (address: string): void {
    this.#links.delete(address)
  }

  at (address: string): ScriptedLink | undefined {
    return this.#links.get(address)
  }
}

/** One daemon's end. */
export class ScriptedLink implements Link {
  readonly self: LinkIdentity
  readonly #network: ScriptedNetwork
  readonly #clock: Clock
  readonly #handlers = new Map<string, Handler>()

  constructor (self: LinkIdentity, network: ScriptedNetwork, clock: Clock) {
    this.self = self
    this.#network = network
    this.#clock = clock
  }

  handle<Body, Reply> (type: MessageType<Body, Reply>, handler: (body: Body, from: LinkIdentity) => Promise<Reply>): void {
    this.#handlers.set(type.name, async (body, from) => type.reply.parse(await handler(type.body.parse(body), from)))
  }

  async request<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number): Promise<Result<Reply, LinkFailure>> {
    this.#network.asked.set(type.name, (this.#network.asked.get(type.name) ?? 0) + 1)
    const target = this.#network.at(peer.address)
    if (target === undefined || this.#network.at(this.self.address) !== this) return Err(new LinkFailure('nothing listens there', false))
    const fate = this.#network.script(type.name, this.self.name, target.self.name)
    const reply = fate === MessageFate.RequestLost ? undefined : target.#handle(type.name, structuredClone(body), this.self)
    const last = fate === MessageFate.Repeated ? target.#handle(type.name, structuredClone(body), this.self) : reply
    const awaited = fate === MessageFate.ReplyLost ? undefined : last
    const over = new AbortController()
    const late = this.#clock.sleep(timeoutMilliseconds, over.signal).then(() => undefined)
    const outcome = await Promise.race([awaited ?? late, late])
    over.abort()
    return outcome === undefined ? Err(new LinkFailure('no reply in time', true)) : Ok(outcome as Reply)
  }

  async #handle (type: string, body: unknown, from: LinkIdentity): Promise<unknown> {
    return this.#handlers.get(type)?.(body, from)
  }
}
