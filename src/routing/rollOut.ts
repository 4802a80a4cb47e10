/** Moving a service's traffic to a new version of its software. */

/** An operator's order to move a service to a version. */
export interface RollOutOrder {
  readonly service: string
  readonly toVersion: string
  /** It is to be finished so many milliseconds after the order. */
  readonly durationMilliseconds: number
}

/** How far a roll-out is. */
export const RollOutState = {
  Running: 'running',
  Complete: 'complete',
  Reverted: 'reverted'
} as const
export type RollOutState = typeof RollOutState[keyof typeof RollOutState]

/** What all daemons and the operator read of a roll-out. */
export interface RollOutStatus {
  readonly service: string
  readonly toVersion: string
  readonly state: RollOutState
  /** The store's steady clock at its start, in milliseconds; undefined where another writer left it out. */
  readonly startedAt: number | undefined
}

/** Sessions that one daemon keeps on the old version while a new one shows itself in a small share. */
export interface RollOutPins {
  readonly service: string
  readonly toVersion: string
  /** The daemon that served them before the roll-out began. */
  readonly observer: string
  readonly sessions: readonly string[]
}

/** Answers of a version that one daemon has seen since a roll-out began. */
export interface RollOutEvidence {
  readonly service: string
  readonly toVersion: string
  /** The daemon that saw them. */
  readonly observer: string
  readonly answers: number
  readonly failures: number
  /** Answers several times slower than the old version's for the same kind of request. */
  readonly slow: number
}
