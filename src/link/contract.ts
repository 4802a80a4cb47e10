/**
 * Typed messages between daemons. A message has a type that both ends know and is checked against
 * its schema when it arrives; an unknown type is refused. Links carry no promise of their own: a
 * message may be lost, late or repeated, and what is said over one must bear that.
 */
import type { z } from 'zod'
import type { Place, Result } from '../contract/index.ts'

/** Another daemon, as it is reached. */
export interface Peer {
  readonly name: string
  /** `IP:port` of its link. */
  readonly address: string
}

/** Who a daemon is, as it says in its hello. */
export interface LinkIdentity extends Peer {
  readonly place: Place
  readonly rack: string
  /** The start of the process, milliseconds since the epoch; it grows with each restart. */
  readonly incarnation: number
}

/** A type of message: its name, the shape of what is sent and the shape of the reply. */
export interface MessageType<Body, Reply> {
  readonly name: string
  readonly body: z.ZodType<Body>
  readonly reply: z.ZodType<Reply>
}

/** Why a message has no reply. */
export class LinkFailure {
  readonly reason: string
  /** True where the message may have been handled although no reply came. */
  readonly mayHaveArrived: boolean

  constructor (reason: string, mayHaveArrived: boolean) {
    this.reason = reason
    this.mayHaveArrived = mayHaveArrived
  }
}

/** The links of one daemon to its peers. */
export interface Link {
  readonly self: LinkIdentity
  /**
   * Sends a message and waits for its reply.
   *
   * @param timeoutMilliseconds how long to wait; the failure then says that it may have arrived
   * @example
   * const reply = await link.ask(peer, settingsNews, { revision: 12 }, 500)
   */
  request<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number): Promise<Result<Reply, LinkFailure>>
  /**
   * Answers messages of a type from now on.
   *
   * @example
   * link.answer(settingsNews, async (body, from) => ({ revision: store.revision }))
   */
  handle<Body, Reply> (type: MessageType<Body, Reply>, handler: (body: Body, from: LinkIdentity) => Promise<Reply>): void
}
