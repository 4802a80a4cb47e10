/**
 * Typed messages between daemons. A message has a type that both ends know and is checked against
 * its schema when it arrives; an unknown type is refused. Links give no delivery guarantee: a message may
 * be lost, delayed or repeated, and every protocol over a link must tolerate that.
 */
import type * as z from 'zod'
import type { Place, Result } from '../contract/index.ts'

/** Another daemon and its address. */
export interface Peer {
  readonly name: string
  /** `IP:port` of its link. */
  readonly address: string
}

/** A daemon's identity, as sent in the handshake. */
export interface LinkIdentity extends Peer {
  readonly place: Place
  readonly rack: string
  /** Start time of the process, in milliseconds since the epoch; grows with each restart. */
  readonly incarnation: number
}

/** A message type: its name and the schemas of its body and reply. */
export interface MessageType<Body, Reply> {
  readonly name: string
  readonly body: z.ZodType<Body>
  readonly reply: z.ZodType<Reply>
}

/** Why a request got no reply. */
export class LinkFailure {
  readonly reason: string
  /** True if the message may have been handled although no reply was received. */
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
   * Opens a connection to a peer if there is none, for messages that tell how long ago things were; a failure shows
   * when a message is sent.
   *
   * @example
   * await link.connect(peer, 500)
   */
  connect (peer: Peer, timeoutMilliseconds: number): Promise<void>
  /**
   * Sends a message and waits for its reply.
   *
   * @param timeoutMilliseconds how long to wait; the failure then says whether the message may have arrived
   * @example
   * const reply = await link.request(peer, settingsRequest, { revision: 12 }, 500)
   */
  request<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number): Promise<Result<Reply, LinkFailure>>
  /**
   * Registers the handler for messages of a type.
   *
   * @example
   * link.handle(settingsRequest, async (body, from) => ({ revision: store.revision }))
   */
  handle<Body, Reply> (type: MessageType<Body, Reply>, handler: (body: Body, from: LinkIdentity) => Promise<Reply>): void
}
