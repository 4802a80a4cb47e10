/**
 * Simulated links between ledgers in one process; a script decides which messages are lost or
 * repeated. A killed daemon neither sends nor answers requests.
 */
import { type Clock, Err, Ok, type Result } from '../../src/contract/index.ts'
import { type Link, LinkFailure, type LinkIdentity, type MessageType, type Peer } from '../../src/link/index.ts'

/** The fault that is injected into one message. */
export const MessageFault = {
  None: 'delivered',
  RequestLost: 'request_lost',
  ReplyLost: 'reply_lost',
  /** The request is handled twice; the sender receives the second reply. */
  Repeated: 'repeated'
} as const
export type MessageFault = typeof MessageFault[keyof typeof MessageFault]

type Handler = (body: unknown, from: LinkIdentity) => Promise<unknown>

/** The simulated network between ledgers. */
export class ScriptedNetwork {
  /** Decides the fault of each message. */
  script: (type: string, from: string, to: string) => MessageFault = () => MessageFault.None
  /** Number of requests so far, by message type. */
  readonly requestCounts = new Map<string, number>()
  readonly #clock: Clock
  readonly #links = new Map<string, ScriptedLink>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Adds a daemon to the network and returns its link. */
  addLink (self: LinkIdentity): ScriptedLink {
    const link = new ScriptedLink(self, this, this.#clock)
    this.#links.set(self.address, link)
    return link
  }

  /** Removes a killed daemon from the network. */
  removeLink (address: string): void {
    this.#links.delete(address)
  }

  linkAt (address: string): ScriptedLink | undefined {
    return this.#links.get(address)
  }
}

/** The link of one daemon. */
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

  async connect (): Promise<void> {}

  async request<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number): Promise<Result<Reply, LinkFailure>> {
    this.#network.requestCounts.set(type.name, (this.#network.requestCounts.get(type.name) ?? 0) + 1)
    const target = this.#network.linkAt(peer.address)
    if (target === undefined || this.#network.linkAt(this.self.address) !== this) return Err(new LinkFailure('no daemon is listening at the address', false))
    const fault = this.#network.script(type.name, this.self.name, target.self.name)
    const reply = fault === MessageFault.RequestLost ? undefined : target.#handle(type.name, structuredClone(body), this.self)
    const finalReply = fault === MessageFault.Repeated ? target.#handle(type.name, structuredClone(body), this.self) : reply
    const awaitedReply = fault === MessageFault.ReplyLost ? undefined : finalReply
    const settled = new AbortController()
    const timeout = this.#clock.sleep(timeoutMilliseconds, settled.signal).then(() => undefined)
    const outcome = await Promise.race([awaitedReply ?? timeout, timeout])
    settled.abort()
    return outcome === undefined ? Err(new LinkFailure('no reply within the timeout', true)) : Ok(outcome as Reply)
  }

  async #handle (type: string, body: unknown, from: LinkIdentity): Promise<unknown> {
    return this.#handlers.get(type)?.(body, from)
  }
}
