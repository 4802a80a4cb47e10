/**
 * The endpoints as one daemon knows them. A leaving mark for an endpoint whose incarnation is not
 * known yet counts here at once and is kept until the first report says which incarnation it marks.
 */
import { type Clock, invariant } from '../contract/index.ts'
import type { EndpointNews } from './contract.ts'
import { type EndpointRecord, joinEndpoints, unknownEndpoint } from './endpointRecord.ts'

/** Failed polls in a row from which an endpoint counts as unreachable. */
const unhealthyFailures = 2

interface Entry {
  readonly record: EndpointRecord
  readonly reportedAt: number
}

export class EndpointTable {
  readonly #clock: Clock
  readonly #entries = new Map<string, Entry>()
  readonly #unplacedMarks = new Set<string>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  record (name: string): EndpointRecord | undefined {
    return this.#entries.get(name)?.record
  }

  records (): EndpointRecord[] {
    return [...this.#entries.values()].map(entry => entry.record)
  }

  news (name: string): EndpointNews | undefined {
    const entry = this.#entries.get(name)
    if (entry === undefined) return undefined
    const { record, reportedAt } = entry
    const leaving = record.leaving || this.#unplacedMarks.has(name)
    return { name, healthy: record.failures < unhealthyFailures, leaving, report: record.report, reportedAt }
  }

  /**
   * Takes what was told of an endpoint.
   *
   * @returns whether anything changed
   */
  merge (told: EndpointRecord): boolean {
    const known = this.#entries.get(told.name)
    const joined = this.#placeMark(known === undefined ? told : joinEndpoints(known.record, told))
    if (joined === known?.record) return false
    const isSameIncarnation = known?.record.incarnation === joined.incarnation
    invariant(!isSameIncarnation || !known.record.leaving || joined.leaving, 'a leaving mark stays within an incarnation', () => ({ known, joined }))
    const reportedAt = known !== undefined && joined.report === known.record.report ? known.reportedAt : this.#clock.now()
    this.#entries.set(told.name, { record: joined, reportedAt })
    return true
  }

  /**
   * Marks an endpoint as leaving, within the incarnation that is known.
   *
   * @returns whether anything changed
   */
  markLeaving (name: string): boolean {
    const known = this.record(name) ?? unknownEndpoint(name)
    if (known.incarnation === 0) this.#unplacedMarks.add(name)
    return this.merge({ ...known, leaving: true })
  }

  /** Counts a failed poll. */
  fail (name: string): boolean {
    const known = this.record(name) ?? unknownEndpoint(name)
    return this.merge({ ...known, failures: known.failures + 1 })
  }

  /** The endpoints that are leaving or can't be reached. */
  troubled (): EndpointRecord[] {
    return this.records().filter(record => record.leaving || record.failures >= unhealthyFailures)
  }

  /** Forgets the endpoints that the settings no longer name. */
  retain (names: ReadonlySet<string>): void {
    for (const name of this.#entries.keys()) {
      if (names.has(name)) continue
      this.#entries.delete(name)
      this.#unplacedMarks.delete(name)
    }
  }

  #placeMark (record: EndpointRecord): EndpointRecord {
    if (record.incarnation === 0 || !this.#unplacedMarks.delete(record.name)) return record
    return { ...record, leaving: true }
  }
}
