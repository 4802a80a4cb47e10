/**
 * Endpoints that fail their attempts are left out for a while and come back slowly. What looks like
 * a bad endpoint may be a common cause (a link, a bad request, the daemon itself), so leaving out
 * is a preference, not a verdict: `standing` is a weight, and where too many would be left out the
 * caller goes by the others' plain weights again.
 */
import { AttemptEnd } from './contract.ts'

const failuresInARow = 3
const failureShare = 0.5
const failureShareNeeds = 8
const recentWeight = 0.1
const firstEjectionMilliseconds = 5_000
const longestEjectionMilliseconds = 60_000
const returnMilliseconds = 10_000
const lowestStanding = 0.05
const forgivenAfterMilliseconds = 120_000

/** One endpoint's recent ends, and when it may be used again. */
export class EndpointStanding {
  #failedInARow = 0
  #ends = 0
  #failing = 0
  #ejections = 0
  #ejectedUntil = Number.NEGATIVE_INFINITY
  #returnedAt = Number.NEGATIVE_INFINITY
  #incarnation: number | undefined
  #wasHealthy = true

  /** Takes in how an attempt ended; a cancelled one says nothing. */
  observe (end: AttemptEnd, now: number): void {
    if (end === AttemptEnd.Cancelled) return
    const failed = end === AttemptEnd.Failed
    this.#ends++
    this.#failing += recentWeight * ((failed ? 1 : 0) - this.#failing)
    this.#failedInARow = failed ? this.#failedInARow + 1 : 0
    if (failed && this.#speaksAgainst() && now >= this.#ejectedUntil) this.#eject(now)
  }

  /** Takes in news: an endpoint that was away or has restarted comes back slowly. */
  observeNews (healthy: boolean, incarnation: number | undefined, now: number): void {
    const restarted = this.#incarnation !== undefined && incarnation !== undefined && incarnation !== this.#incarnation
    if (healthy && (!this.#wasHealthy || restarted)) this.#returnedAt = now
    this.#wasHealthy = healthy
    this.#incarnation = incarnation ?? this.#incarnation
  }

  /** Whether it is left out now. */
  ejected (now: number): boolean {
    return now < this.#ejectedUntil
  }

  /**
   * The weight it has earned: 0 while it is left out, then growing to 1.
   *
   * @example
   * const weight = room * standing.weight(now)
   */
  weight (now: number): number {
    if (this.ejected(now)) return 0
    const back = Math.max(this.#ejectedUntil, this.#returnedAt)
    const share = (now - back) / returnMilliseconds
    return Math.min(1, Math.max(lowestStanding, share))
  }

  #speaksAgainst (): boolean {
    if (this.#failedInARow >= failuresInARow) return true
    return this.#ends >= failureShareNeeds && this.#failing >= failureShare
  }

  #eject (now: number): void {
    if (now - this.#ejectedUntil > forgivenAfterMilliseconds) this.#ejections = 0
    const duration = Math.min(longestEjectionMilliseconds, firstEjectionMilliseconds * 2 ** this.#ejections)
    this.#ejections++
    this.#ejectedUntil = now + duration
    this.#failedInARow = 0
    this.#failing = 0
    this.#ends = 0
  }
}

/** At least this share of the candidates stays in use, whatever their attempts say. */
const usableFloor = 0.5

/**
 * The weights to choose by. Where the ejections would leave less than half of the candidates, they
 * are taken for a common cause and passed over.
 *
 * @example
 * const weights = standingWeights(standings, now)
 */
export function standingWeights (standings: readonly EndpointStanding[], now: number): number[] {
  const weights = standings.map(standing => standing.weight(now))
  const usable = weights.filter(weight => weight > 0).length
  if (usable >= standings.length * usableFloor) return weights
  return weights.map(weight => Math.max(weight, lowestStanding))
}
