/**
 * An endpoint's record as it is sent, a row of about forty bytes. The list of its versions is long
 * and seldom changes: a row carries the list's hash, and the list itself only now and then; a
 * receiver that has not met the hash takes all but the load from the row.
 */
import { z } from 'zod'
import { hashOf, type VersionName } from '../contract/index.ts'
import type { EndpointRecord } from './endpointRecord.ts'

const Flag = {
  Leaving: 1,
  /** The report itself said so. */
  ReportedLeaving: 2,
  Reported: 4
} as const

const tenthsPerMillisecond = 10
const hashValues = 2 ** 32

/** A record as it is sent. */
export const endpointRowSchema = z.tuple([
  /** Name. */
  z.string(),
  /** Incarnation. */
  z.number(),
  /** The report's time, milliseconds after the incarnation. */
  z.number(),
  /** Failures. */
  z.number().int(),
  /** Flags. */
  z.number().int(),
  /** Running and queued requests, queued prompt tokens. */
  z.number(), z.number(), z.number(),
  /** Stream limit, prompt tokens a second, tenths of a millisecond between tokens. */
  z.number(), z.number(), z.number(),
  /** Hash of the versions, and the versions or none. */
  z.number(), z.array(z.string())
])
export type EndpointRow = z.infer<typeof endpointRowSchema>

/** The lists of versions that a daemon has met, by hash. */
export class VersionLists {
  readonly #lists = new Map<number, readonly VersionName[]>()
  readonly #hashes = new Map<string, number>()
  /** Spares the joining of a list that is sent again. */
  readonly #hashOfArray = new WeakMap<readonly VersionName[], number>()

  constructor () {
    // A row that brings no list may mean the empty one.
    this.hash([])
  }

  /** The hash of a list, which is known from then on. */
  hash (versions: readonly VersionName[]): number {
    const met = this.#hashOfArray.get(versions)
    if (met !== undefined) return met
    const hash = this.#hashOfText(versions)
    this.#hashOfArray.set(versions, hash)
    return hash
  }

  list (hash: number): readonly VersionName[] | undefined {
    return this.#lists.get(hash)
  }

  #hashOfText (versions: readonly VersionName[]): number {
    const text = versions.join(' ')
    const known = this.#hashes.get(text)
    if (known !== undefined) return known
    const hash = Math.floor(hashOf(text) * hashValues)
    this.#hashes.set(text, hash)
    this.#lists.set(hash, versions)
    return hash
  }
}

/**
 * A record as it is sent.
 *
 * @param withVersions whether the list of versions goes along
 * @example
 * const row = endpointRowOf(record, lists, true)
 */
export function endpointRowOf (record: EndpointRecord, lists: VersionLists, withVersions: boolean): EndpointRow {
  const { name, incarnation, at, failures, leaving, report } = record
  if (report === undefined) return [name, incarnation, 0, failures, leaving ? Flag.Leaving : 0, 0, 0, 0, 0, 0, 0, 0, []]
  const flags = Flag.Reported | (leaving ? Flag.Leaving : 0) | (report.leaving ? Flag.ReportedLeaving : 0)
  return [
    name, incarnation, at - incarnation, failures, flags,
    report.running, report.queued, report.queuedPromptTokens,
    report.streamLimit, Math.round(report.prefillTokensPerSecond), Math.round(report.betweenTokensMilliseconds * tenthsPerMillisecond),
    lists.hash(report.versions), withVersions ? [...report.versions] : []
  ]
}

/**
 * A record as it was received; one whose versions are not known yet has no report and no time.
 *
 * @example
 * const record = endpointRecordOf(row, lists)
 */
export function endpointRecordOf (row: EndpointRow, lists: VersionLists): EndpointRecord {
  const [name, incarnation, age, failures, flags, running, queued, queuedPromptTokens, streamLimit, prefillTokensPerSecond, tenths, hash, sent] = row
  const leaving = (flags & Flag.Leaving) !== 0
  if (sent.length > 0) lists.hash(sent as VersionName[])
  const versions = lists.list(hash)
  if ((flags & Flag.Reported) === 0) return { name, incarnation, leaving, at: 0, failures, report: undefined }
  if (versions === undefined) return { name, incarnation, leaving, at: 0, failures: 0, report: undefined }
  const at = incarnation + age
  const report = {
    at,
    incarnation,
    versions,
    running,
    queued,
    queuedPromptTokens,
    streamLimit,
    prefillTokensPerSecond,
    betweenTokensMilliseconds: tenths / tenthsPerMillisecond,
    leaving: (flags & Flag.ReportedLeaving) !== 0
  }
  return { name, incarnation, leaving, at, failures, report }
}
