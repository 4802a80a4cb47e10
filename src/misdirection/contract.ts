/** Endpoints whose address answers for another endpoint. All times are milliseconds of the process's clock. */

/** What gateways tell each other of an incarnation of an endpoint at one address. */
export interface MisdirectionFact {
  /** The endpoint's incarnation. */
  readonly instance: string
  /** `IP:port`. */
  readonly address: string
  /** Number of the latest heartbeat that its observer knew of the incarnation. */
  readonly heartbeat: number
  /** 1 or more; one higher than that of the newest fact that its observer knew. */
  readonly revision: number
  /** Whether another endpoint answered at the address; false once the incarnation has answered there again. */
  readonly isMisdirected: boolean
}

/** What changed of an endpoint's standing. */
export const MisdirectionChangeType = {
  /** It gets no more requests. */
  AddressLost: 'lost',
  /** One request was sent to find out whether it is at its address. */
  AddressTried: 'tried',
  /** It answered at its address, and gets requests again. */
  AddressConfirmed: 'confirmed'
} as const
export type MisdirectionChangeType = typeof MisdirectionChangeType[keyof typeof MisdirectionChangeType]

/** What a gateway concludes a change from. */
export const MisdirectionSource = {
  /** A response to a request of its own. */
  Response: 'response',
  /** What another gateway told. */
  Peer: 'peer',
  /** A later heartbeat of the endpoint. */
  Heartbeat: 'heartbeat',
  /** The registration stayed for longer than that of an endpoint that has ended. */
  Registration: 'registration'
} as const
export type MisdirectionSource = typeof MisdirectionSource[keyof typeof MisdirectionSource]

/** A change of what a gateway knows of an endpoint's address. */
export interface MisdirectionChange {
  readonly type: MisdirectionChangeType
  readonly fact: MisdirectionFact
  readonly source: MisdirectionSource
}
