/**
 * What daemons tell each other of an endpoint. Records are joined: whatever order, however often
 * they come, all daemons arrive at the same record. A later incarnation replaces an earlier one
 * whole. Within one, a leaving mark is never taken back, and the later report wins; failures count
 * since a report, so that a later report, whoever read it, shows that the endpoint can be reached,
 * and no clock of a daemon takes part.
 */
import type { LoadReport } from '../contract/index.ts'

/** What is known of an endpoint. */
export interface EndpointRecord {
  readonly name: string
  /** Of the endpoint's process; 0 while it has never reported. */
  readonly incarnation: number
  readonly leaving: boolean
  /** When the endpoint made its latest report, milliseconds by its clock; 0 before the first. */
  readonly at: number
  /** Polls in a row that failed since then. */
  readonly failures: number
  readonly report: LoadReport | undefined
}

/**
 * The record of an endpoint that nothing is known of.
 *
 * @example
 * const record = unknownEndpoint('engine-1')
 */
export function unknownEndpoint (name: string): EndpointRecord {
  return { name, incarnation: 0, leaving: false, at: 0, failures: 0, report: undefined }
}

/**
 * The record that a report makes.
 *
 * @example
 * table.merge(endpointRecordFromReport('engine-1', report))
 */
export function endpointRecordFromReport (name: string, report: LoadReport): EndpointRecord {
  return { name, incarnation: report.incarnation, leaving: report.leaving, at: report.at, failures: 0, report }
}

/**
 * Joins two records of one endpoint.
 *
 * @returns `known` itself where `told` adds nothing
 * @example
 * const joined = mergeEndpointRecords(known, told)
 */
export function mergeEndpointRecords (current: EndpointRecord, incoming: EndpointRecord): EndpointRecord {
  if (incoming.incarnation < current.incarnation) return current
  if (incoming.incarnation > current.incarnation) return incoming
  const leaving = current.leaving || incoming.leaving
  const later = isLater(incoming, current) ? incoming : current
  if (later === current && leaving === current.leaving) return current
  return { ...later, leaving }
}

function isLater (incoming: EndpointRecord, current: EndpointRecord): boolean {
  if (incoming.at !== current.at) return incoming.at > current.at
  return incoming.failures > current.failures
}
