/**
 * The record of an endpoint as daemons exchange it. Merging does not depend on the order or
 * repetition of updates, so that all daemons converge to the same record. A later incarnation replaces an earlier one entirely.
 * Within an incarnation a leaving mark is permanent and the later report takes precedence. Failures are
 * counted from a report on, so that a later report, whoever read it, shows that the endpoint is
 * reachable; no daemon's clock is involved.
 */
import type { LoadReport } from '../contract/index.ts'

/** The state of an endpoint, merged from all updates. */
export interface EndpointRecord {
  readonly name: string
  /** Incarnation of the endpoint's process; 0 before its first report. */
  readonly incarnation: number
  readonly leaving: boolean
  /** When the endpoint made its latest report, in milliseconds on its own clock; 0 before the first. */
  readonly at: number
  /** Consecutive failed polls since then. */
  readonly failures: number
  readonly report: LoadReport | undefined
}

/**
 * Creates the initial record of an endpoint.
 *
 * @example
 * const record = unknownEndpoint('engine-1')
 */
export function unknownEndpoint (name: string): EndpointRecord {
  return { name, incarnation: 0, leaving: false, at: 0, failures: 0, report: undefined }
}

/**
 * Creates a record from a report.
 *
 * @example
 * table.merge(endpointRecordFromReport('engine-1', report))
 */
export function endpointRecordFromReport (name: string, report: LoadReport): EndpointRecord {
  return { name, incarnation: report.incarnation, leaving: report.leaving, at: report.at, failures: 0, report }
}

/**
 * Merges two records of one endpoint.
 *
 * @returns `current` itself if `incoming` adds nothing
 * @example
 * const merged = mergeEndpointRecords(current, incoming)
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
