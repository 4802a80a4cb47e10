/**
 * The wire format of an endpoint record, a row of about forty bytes. The version list is long and seldom
 * changes, so a row carries the list's hash and only occasionally the list itself. A receiver that does
 * not know the hash takes everything but the load report from the row.
 */
import * as z from 'zod'
import { hashFraction, type VersionName } from '../contract/index.ts'
import type { EndpointRecord } from './endpointRecord.ts'

const EndpointFlag = {
  Leaving: 1,
  /** The report itself says that the endpoint is leaving. */
  ReportedLeaving: 2,
  Reported: 4
} as const

const tenthsPerMillisecond = 10
const hashRange = 2 ** 32

/** The wire format of a record. */
export const endpointRowSchema = z.tuple([
  /** Name. */
  z.string(),
  /** Incarnation. */
  z.number(),
  /** Time of the report, in milliseconds after the incarnation. */
  z.number(),
  /** Failures. */
  z.number().int(),
  /** Flags. */
  z.number().int(),
  /** Running and queued requests, queued prompt tokens. */
  z.number(), z.number(), z.number(),
  /** Stream limit, prompt tokens per second, tenths of a millisecond between tokens. */
  z.number(), z.number(), z.number(),
  /** Hash of the version list, and the list itself or an empty one. */
  z.number(), z.array(z.string())
])
export type EndpointRow = z.infer<typeof endpointRowSchema>

/** The version lists that a daemon has received or sent, by hash. */
export class VersionListCache {
  readonly #listsByHash = new Map<number, readonly VersionName[]>()
  readonly #hashesByText = new Map<string, number>()
  /** Avoids joining the text of a list that is sent again. */
  readonly #hashesByArray = new WeakMap<readonly VersionName[], number>()

  constructor () {
    // A row without a list may refer to the empty one.
    this.register([])
  }

  /** Stores a list and returns its hash. */
  register (versions: readonly VersionName[]): number {
    const cached = this.#hashesByArray.get(versions)
    if (cached !== undefined) return cached
    const hash = this.#registerText(versions)
    this.#hashesByArray.set(versions, hash)
    return hash
  }

  lookUp (hash: number): readonly VersionName[] | undefined {
    return this.#listsByHash.get(hash)
  }

  #registerText (versions: readonly VersionName[]): number {
    const text = versions.join(' ')
    const known = this.#hashesByText.get(text)
    if (known !== undefined) return known
    const hash = Math.floor(hashFraction(text) * hashRange)
    this.#hashesByText.set(text, hash)
    this.#listsByHash.set(hash, versions)
    return hash
  }
}

/**
 * Encodes a record for sending.
 *
 * @param includeVersions whether to include the version list
 * @example
 * const row = encodeEndpointRow(record, versionLists, true)
 */
export function encodeEndpointRow (record: EndpointRecord, versionLists: VersionListCache, includeVersions: boolean): EndpointRow {
  const { name, incarnation, at, failures, leaving, report } = record
  if (report === undefined) return [name, incarnation, 0, failures, leaving ? EndpointFlag.Leaving : 0, 0, 0, 0, 0, 0, 0, 0, []]
  const flags = EndpointFlag.Reported | (leaving ? EndpointFlag.Leaving : 0) | (report.leaving ? EndpointFlag.ReportedLeaving : 0)
  return [
    name, incarnation, at - incarnation, failures, flags,
    report.running, report.queued, report.queuedPromptTokens,
    report.streamLimit, Math.round(report.prefillTokensPerSecond), Math.round(report.betweenTokensMilliseconds * tenthsPerMillisecond),
    versionLists.register(report.versions), includeVersions ? [...report.versions] : []
  ]
}

/**
 * Decodes a received record. If its version list is unknown, the record has no report and no report time.
 *
 * @example
 * const record = decodeEndpointRow(row, versionLists)
 */
export function decodeEndpointRow (row: EndpointRow, versionLists: VersionListCache): EndpointRecord {
  const [name, incarnation, reportOffset, failures, flags, running, queued, queuedPromptTokens, streamLimit, prefillTokensPerSecond, betweenTokensTenths, versionsHash, sentVersions] = row
  const leaving = (flags & EndpointFlag.Leaving) !== 0
  if (sentVersions.length > 0) versionLists.register(sentVersions as VersionName[])
  const versions = versionLists.lookUp(versionsHash)
  if ((flags & EndpointFlag.Reported) === 0) return { name, incarnation, leaving, at: 0, failures, report: undefined }
  if (versions === undefined) return { name, incarnation, leaving, at: 0, failures: 0, report: undefined }
  const at = incarnation + reportOffset
  const report = {
    at,
    incarnation,
    versions,
    running,
    queued,
    queuedPromptTokens,
    streamLimit,
    prefillTokensPerSecond,
    betweenTokensMilliseconds: betweenTokensTenths / tenthsPerMillisecond,
    leaving: (flags & EndpointFlag.ReportedLeaving) !== 0
  }
  return { name, incarnation, leaving, at, failures, report }
}
