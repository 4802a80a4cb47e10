/** Roll-outs: moving a service's traffic to a new software version. */

/** An operator's order to move a service to a version. */
export interface RollOutOrder {
  readonly service: string
  readonly toVersion: string
  /** Time after the order within which the roll-out must be finished. */
  readonly durationMilliseconds: number
}

export const RollOutState = {
  Running: 'running',
  Complete: 'complete',
  Reverted: 'reverted'
} as const
export type RollOutState = typeof RollOutState[keyof typeof RollOutState]

/** Status of a roll-out, read by all daemons and the operator. */
export interface RollOutStatus {
  readonly service: string
  readonly toVersion: string
  readonly state: RollOutState
  /** The store's steady clock at its start, in milliseconds; undefined if another writer omitted it. */
  readonly startedAt: number | undefined
}

/** Sessions that one daemon keeps on the old version while the new one has a small exposure. */
export interface RollOutPins {
  readonly service: string
  readonly toVersion: string
  /** The daemon that served them before the roll-out began. */
  readonly observer: string
  readonly sessions: readonly string[]
}

/**
 * Sessions that a daemon still served when it stopped. Another daemon that receives their next requests
 * has never seen them, so it would take them for new ones if a roll-out began meanwhile.
 */
export interface SessionHandOver {
  /** The daemon that stopped. */
  readonly observer: string
  /** The store's steady clock when the sessions were listed, in milliseconds. */
  readonly listedAt: number
  readonly sessions: readonly string[]
}

/** Counts of a version's responses that one daemon has observed since the roll-out began. */
export interface RollOutEvidence {
  readonly service: string
  readonly toVersion: string
  /** The daemon that observed them. */
  readonly observer: string
  readonly answers: number
  readonly failures: number
  /** Answers and failures by kind of request; undefined if an earlier build observed them. */
  readonly kinds?: Readonly<Record<string, { readonly answers: number, readonly failures: number }>> | undefined
  /** Runs several times slower than the old version's for the same kind of request. */
  readonly slow: number
  /** Runs whose time could be judged, the slow ones included; undefined if an earlier build observed them. */
  readonly timed?: number | undefined
}
