/** The daemons and endpoints known to one daemon. */
import type { LoadReport, Place } from '../contract/index.ts'

/** State of a member. */
export const MemberState = {
  Alive: 'alive',
  /** It did not answer a probe and may still refute the suspicion. */
  Suspect: 'suspect',
  /** The daemon itself or the platform's list announced that it is leaving. */
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

/** Health and load of an endpoint, as far as known. */
export interface EndpointStatus {
  readonly name: string
  readonly healthy: boolean
  /** Set by any source and permanent within the endpoint's incarnation. */
  readonly leaving: boolean
  readonly report: LoadReport | undefined
  /** When this daemon received the report. */
  readonly reportedAt: number
}

/** One daemon's view of the members and endpoints. */
export interface Membership {
  /** Daemons of this data centre and the known ones of others, without dead ones. */
  members (): readonly MemberView[]
  /** Status of an endpoint; undefined before its first record. */
  endpointStatus (name: string): EndpointStatus | undefined
  /** Marks an endpoint as leaving and broadcasts it, for example when an attempt was told so. */
  markEndpointLeaving (endpoint: string): void
}
