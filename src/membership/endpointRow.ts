/**
 * An endpoint's record as it is sent, a row of about forty bytes. The list of its versions is long
 * and seldom changes: a row carries the list's hash, and the list itself only now and then; a
 * receiver that has not met the hash takes all but the load from the row.
 */
import { z } from 'zod'
import { hashOf, type VersionName } from '../contract/index.ts'
import type { EndpointRecord } from './endpointRecord.ts'

const EndpointFlag = {
  Leaving: 1,
  /** The report itself said so. */
  ReportedLeaving: 2,
  Reported: 4
} as const

const tenthsPerMillisecond = 10
const hashRange = 2 ** 32

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
export class VersionListCache {
  readonly #listsByHash = new Map<number, readonly VersionName[]>()
  readonly #hashesByText = new Map<string, number>()
  /** Spares the joining of a list that is sent again. */
  readonly #hashesByArray = new WeakMap<readonly VersionName[], number>()

  constructor () {
    // A row that brings no list may mean the empty one.
    this.register([])
  }

  /** The hash of a list, which is known from then on. */
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
    const hash = Math.floor(hashOf(text) * hashRange)
    this.#hashesByText.set(text, hash)
    this.#listsByHash.set(hash, versions)
    return hash
  }
}

/**
 * A record as it is sent.
 *
 * @param includeVersions whether the list of versions goes along
 * @example
 * const row = encodeEndpointRow(record, lists, true)
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
 * A record as it was received; one whose versions are not known yet has no report and no time.
 *
 * @example
 * const record = decodeEndpointRow(row, lists)
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
