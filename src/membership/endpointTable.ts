/**
 * The endpoints known to one daemon. A leaving mark for an endpoint of unknown incarnation takes effect
 * here at once and is kept until the first report determines the incarnation that it applies to.
 */
import { type Clock, invariant } from '../contract/index.ts'
import type { EndpointStatus } from './contract.ts'
import { type EndpointRecord, mergeEndpointRecords, unknownEndpoint } from './endpointRecord.ts'

/** Consecutive failed polls after which an endpoint counts as unreachable. */
const unhealthyFailureThreshold = 2

interface Entry {
  readonly record: EndpointRecord
  readonly reportedAt: number
}

export class EndpointTable {
  readonly #clock: Clock
  readonly #entries = new Map<string, Entry>()
  readonly #pendingLeavingMarks = new Set<string>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  record (name: string): EndpointRecord | undefined {
    return this.#entries.get(name)?.record
  }

  records (): EndpointRecord[] {
    return [...this.#entries.values()].map(entry => entry.record)
  }

  status (name: string): EndpointStatus | undefined {
    const entry = this.#entries.get(name)
    if (entry === undefined) return undefined
    const { record, reportedAt } = entry
    const leaving = record.leaving || this.#pendingLeavingMarks.has(name)
    return { name, healthy: record.failures < unhealthyFailureThreshold, leaving, report: record.report, reportedAt }
  }

  /**
   * Merges a received record.
   *
   * @returns whether anything changed
   */
  merge (incoming: EndpointRecord): boolean {
    const current = this.#entries.get(incoming.name)
    const merged = this.#applyPendingMark(current === undefined ? incoming : mergeEndpointRecords(current.record, incoming))
    if (merged === current?.record) return false
    const isSameIncarnation = current?.record.incarnation === merged.incarnation
    invariant(!isSameIncarnation || !current.record.leaving || merged.leaving, 'a leaving mark stays within an incarnation', () => ({ known: current, joined: merged }))
    const reportedAt = current !== undefined && merged.report === current.record.report ? current.reportedAt : this.#clock.now()
    this.#entries.set(incoming.name, { record: merged, reportedAt })
    return true
  }

  /**
   * Marks an endpoint as leaving within its known incarnation.
   *
   * @returns whether anything changed
   */
  markLeaving (name: string): boolean {
    const current = this.record(name) ?? unknownEndpoint(name)
    if (current.incarnation === 0) this.#pendingLeavingMarks.add(name)
    return this.merge({ ...current, leaving: true })
  }

  /** Counts a failed poll. */
  recordFailedPoll (name: string): boolean {
    const current = this.record(name) ?? unknownEndpoint(name)
    return this.merge({ ...current, failures: current.failures + 1 })
  }

  /** The endpoints that are leaving or unreachable. */
  leavingOrUnhealthy (): EndpointRecord[] {
    return this.records().filter(record => record.leaving || record.failures >= unhealthyFailureThreshold)
  }

  /** Removes the endpoints that the settings no longer name. */
  retain (names: ReadonlySet<string>): void {
    for (const name of this.#entries.keys()) {
      if (names.has(name)) continue
      this.#entries.delete(name)
      this.#pendingLeavingMarks.delete(name)
    }
  }

  #applyPendingMark (record: EndpointRecord): EndpointRecord {
    if (record.incarnation === 0 || !this.#pendingLeavingMarks.delete(record.name)) return record
    return { ...record, leaving: true }
  }
}
