/**
 * The requests that lay unanswered at a known crash, and when each was answered since. Only these are kept,
 * with the last answered requests of this gateway, since an answer may come before the news of the crash.
 */
import { dropOldest } from '../contract/index.ts'
import { type CrashReport, type OrganisationPart, type PartAnswer, partKey, partOfSuspect } from './contract.ts'

/** Number of answered requests that are remembered, the last ones. */
const maximumRecentAnswers = 4_096

interface SuspectState {
  readonly part: OrganisationPart
  /** When it was last sent to an endpoint that crashed. */
  readonly sentAt: number
  readonly answeredAt: number | undefined
}

export class SuspectRequests {
  readonly #suspects = new Map<string, SuspectState>()
  /** When requests were answered, by key. */
  readonly #recentAnswers = new Map<string, number>()

  /** Adds the requests of a report. */
  add ({ requests = [] }: CrashReport): void {
    for (const request of requests) {
      const part = partOfSuspect(request)
      const key = partKey(part)
      const known = this.#suspects.get(key)
      const answeredAt = known === undefined ? this.#recentAnswers.get(key) : known.answeredAt
      this.#suspects.set(key, { part, sentAt: Math.max(request.sentAt, known?.sentAt ?? request.sentAt), answeredAt })
    }
  }

  /** Keeps only the requests of some reports. */
  retain (reports: readonly CrashReport[]): void {
    const kept = requestKeys(reports)
    for (const [key, { answeredAt }] of this.#suspects) {
      if (kept.has(key)) continue
      this.#suspects.delete(key)
      if (answeredAt !== undefined) this.#remember(key, answeredAt)
    }
  }

  has (part: OrganisationPart): boolean {
    return this.#suspects.has(partKey(part))
  }

  /** When a request was last answered; undefined if that is not known. */
  lastAnsweredAt (part: OrganisationPart): number | undefined {
    const key = partKey(part)
    return this.#suspects.get(key)?.answeredAt ?? this.#recentAnswers.get(key)
  }

  /** Whether a request was answered after it was last sent to an endpoint that crashed, or after a time if no such crash is known. */
  isAnsweredSince (part: OrganisationPart, time: number): boolean {
    const answeredAt = this.lastAnsweredAt(part)
    return answeredAt !== undefined && answeredAt >= (this.#suspects.get(partKey(part))?.sentAt ?? time)
  }

  /**
   * Records an answer.
   *
   * @returns whether it clears the request of crashes that still spoke against it
   */
  recordAnswer ({ answeredAt, ...part }: PartAnswer): boolean {
    const key = partKey(part)
    const suspect = this.#suspects.get(key)
    if (suspect === undefined) {
      this.#remember(key, answeredAt)
      return false
    }
    const before = suspect.answeredAt ?? Number.NEGATIVE_INFINITY
    if (answeredAt <= before) return false
    this.#suspects.set(key, { ...suspect, answeredAt })
    return before < suspect.sentAt
  }

  /** The last answers to the requests of some reports. */
  answersTo (reports: readonly CrashReport[]): readonly PartAnswer[] {
    return [...requestKeys(reports)].flatMap(key => {
      const suspect = this.#suspects.get(key)
      return suspect?.answeredAt === undefined ? [] : [{ ...suspect.part, answeredAt: suspect.answeredAt }]
    })
  }

  #remember (key: string, answeredAt: number): void {
    const known = this.#recentAnswers.get(key) ?? Number.NEGATIVE_INFINITY
    this.#recentAnswers.delete(key)
    this.#recentAnswers.set(key, Math.max(known, answeredAt))
    dropOldest(this.#recentAnswers, maximumRecentAnswers)
  }
}

function requestKeys (reports: readonly CrashReport[]): ReadonlySet<string> {
  return new Set(reports.flatMap(({ requests = [] }) => requests.map(request => partKey(partOfSuspect(request)))))
}
