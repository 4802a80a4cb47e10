/**
 * Links between ledgers in one process, whose messages a script loses, repeats or delays. A daemon
 * that is killed neither asks nor answers any more.
 */
import { type Clock, Err, Ok, type Result } from '../../src/contract/index.ts'
import { type Link, LinkFailure, type LinkIdentity, type MessageType, type Peer } from '../../src/link/index.ts'

/** What befalls one message. */
export const MessageFault = {
  None: 'delivered',
  RequestLost: 'request_lost',
  ReplyLost: 'reply_lost',
  /** Handled twice; the second reply counts. */
  Repeated: 'repeated'
} as const
export type MessageFault = typeof MessageFault[keyof typeof MessageFault]

type Handler = (body: unknown, from: LinkIdentity) => Promise<unknown>

/** The network between ledgers. */
export class ScriptedNetwork {
  /** Says what befalls each message. */
  script: (type: string, from: string, to: string) => MessageFault = () => MessageFault.None
  /** Messages asked so far, by type. */
  readonly requestCounts = new Map<string, number>()
  readonly #clock: Clock
  readonly #links = new Map<string, ScriptedLink>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** The link of a daemon. */
  addLink (self: LinkIdentity): ScriptedLink {
    const link = new ScriptedLink(self, this, this.#clock)
    this.#links.set(self.address, link)
    return link
  }

  /** Takes a daemon off the network. */
  removeLink (address: string): void {
    this.#links.delete(address)
  }

  linkAt (address: string): ScriptedLink | undefined {
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
    this.#network.requestCounts.set(type.name, (this.#network.requestCounts.get(type.name) ?? 0) + 1)
    const target = this.#network.linkAt(peer.address)
    if (target === undefined || this.#network.linkAt(this.self.address) !== this) return Err(new LinkFailure('nothing listens there', false))
    const fault = this.#network.script(type.name, this.self.name, target.self.name)
    const reply = fault === MessageFault.RequestLost ? undefined : target.#handle(type.name, structuredClone(body), this.self)
    const finalReply = fault === MessageFault.Repeated ? target.#handle(type.name, structuredClone(body), this.self) : reply
    const awaitedReply = fault === MessageFault.ReplyLost ? undefined : finalReply
    const settled = new AbortController()
    const timeout = this.#clock.sleep(timeoutMilliseconds, settled.signal).then(() => undefined)
    const outcome = await Promise.race([awaitedReply ?? timeout, timeout])
    settled.abort()
    return outcome === undefined ? Err(new LinkFailure('no reply in time', true)) : Ok(outcome as Reply)
  }

  async #handle (type: string, body: unknown, from: LinkIdentity): Promise<unknown> {
    return this.#handlers.get(type)?.(body, from)
  }
}
