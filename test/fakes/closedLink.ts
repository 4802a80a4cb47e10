/** A link over which some requests fail, as when the peer has closed the connection, or come to an end as the test says. */
import { Err, Ok, type Result } from '../../src/contract/index.ts'
import { type Link, LinkFailure, type LinkIdentity, type MessageType, type Peer } from '../../src/link/index.ts'
import { linkIdentityOf } from './delayedEcho.ts'

export interface ClosedLinkOptions {
  /** How many requests fail, from the first one on. */
  readonly closedRequests: number
  /** Called before a request ends, with its number. */
  readonly beforeReply: (requestCount: number) => Promise<unknown>
  readonly reply: unknown
}

export class ClosedLink implements Link {
  readonly self: LinkIdentity = linkIdentityOf('stalling')
  /** Addresses that were asked, in order. */
  readonly asked: string[] = []
  readonly #options: ClosedLinkOptions

  constructor (options: ClosedLinkOptions) {
    this.#options = options
  }

  async connect (): Promise<void> {}

  handle (): void {}

  async request<Body, Reply> ({ address }: Peer, type: MessageType<Body, Reply>): Promise<Result<Reply, LinkFailure>> {
    const { beforeReply, closedRequests, reply } = this.#options
    const isClosed = this.asked.push(address) <= closedRequests
    await beforeReply(this.asked.length)
    return isClosed ? Err(new LinkFailure('the connection ended', true)) : Ok(type.reply.parse(reply))
  }
}
