/** Rate limits that endpoints announce, and the gateways that share them. All times are milliseconds of the process's clock. */

/** What one response says of its endpoint's rate limit. */
export type RateAnnouncement =
  /** The endpoint has no limit. */
  | { readonly type: 'unlimited' }
  /** The endpoint takes so many requests a second from all gateways together; 0 or more. */
  | { readonly type: 'limited', readonly requestsPerSecond: number }
  /** It says something that can't be read, so what it said before still holds. */
  | { readonly type: 'unreadable' }

/**
 * What gateways tell each other of an endpoint's limit. Of two facts the one with the higher revision holds:
 * a gateway that observes a change numbers it one higher than the newest fact that it knows.
 */
export interface LimitFact {
  /** The endpoint's incarnation. */
  readonly instance: string
  /** 1 or more. */
  readonly revision: number
  /** Undefined if the endpoint has no limit any more. */
  readonly requestsPerSecond: number | undefined
}

/** A change of what a gateway knows of an endpoint's limit. */
export interface LimitChange {
  readonly fact: LimitFact
  /** The limit before; undefined if there was none. */
  readonly before: number | undefined
}

/** A limit for all gateways together. */
export interface SharedLimit {
  readonly requestsPerSecond: number
  /** Requests that all senders together may keep back and send at once. */
  readonly keptRequests: number
}

/** A limit in force, or one that has ended lately. */
export interface KnownLimit {
  readonly requestsPerSecond: number
  /** When it ended; undefined while it is in force. */
  readonly endedAt: number | undefined
}

/** An endpoint, as far as its limit is concerned. */
export interface RatedEndpoint {
  /** The endpoint's incarnation. */
  readonly instance: string
  readonly service: string
  readonly region: string
}

/** A gateway, as all others know it. */
export interface FleetMember {
  /** `IP:port`; the same for a process that starts again. */
  readonly address: string
  /** Undefined while it is not known. */
  readonly region: string | undefined
}

/** The gateways that may send to the same endpoints. */
export interface Fleet {
  readonly self: FleetMember
  /** All gateways that may be running, with this one; the same array while they are unchanged. */
  readonly members: readonly FleetMember[]
  /** Whether the members are known; false shortly after a start. */
  readonly isSettled: boolean
}
