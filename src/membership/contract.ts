/** Which daemons and endpoints are there, as one daemon knows it. */
import type { LoadReport, Place } from '../contract/index.ts'

/** How a member is doing. */
export const MemberState = {
  Alive: 'alive',
  /** It did not answer; it has some time to refute. */
  Suspect: 'suspect',
  /** It said, or the platform's list says, that it is going. */
  Leaving: 'leaving',
  Dead: 'dead'
} as const
export type MemberState = typeof MemberState[keyof typeof MemberState]

/** A daemon as this one knows it. */
export interface MemberView {
  readonly name: string
  /** `IP:port` of its link. */
  readonly address: string
  readonly place: Place
  readonly rack: string
  readonly incarnation: number
  readonly state: MemberState
}

/** What is known of an endpoint's health and load. */
export interface EndpointStatus {
  readonly name: string
  readonly healthy: boolean
  /** Set by any source and not taken back within the endpoint's incarnation. */
  readonly leaving: boolean
  readonly report: LoadReport | undefined
  /** When the report reached this daemon. */
  readonly reportedAt: number
}

/** The view of one daemon. */
export interface Membership {
  /** Daemons of this data centre, and those known of others; never the dead. */
  members (): readonly MemberView[]
  /** News of an endpoint; undefined before the first. */
  endpointStatus (name: string): EndpointStatus | undefined
  /** Tells of an endpoint that says it is leaving, as an attempt saw it. */
  markEndpointLeaving (endpoint: string): void
}
