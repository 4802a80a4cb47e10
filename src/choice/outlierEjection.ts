/**
 * Outlier ejection with slow start: endpoints whose attempts fail are ejected for a while and return
 * gradually. The failures may have a common cause (a link, a bad request, the daemon itself), so
 * ejection only lowers a weight. If it would eject too many candidates, it is ignored and ejected
 * endpoints get the minimum weight.
 */
import { AttemptEnd } from './contract.ts'

const consecutiveFailuresToEject = 3
const failureRateToEject = 0.5
const minimumAttemptsForFailureRate = 8
const failureRateSmoothing = 0.1
const baseEjectionMilliseconds = 5_000
const maximumEjectionMilliseconds = 60_000
const slowStartMilliseconds = 10_000
const minimumSlowStartWeight = 0.05
const backoffResetMilliseconds = 120_000

/** Recent attempt results of one endpoint, and its ejection and slow-start state. */
export class OutlierState {
  #consecutiveFailures = 0
  #attemptCount = 0
  #failureRate = 0
  #ejectionCount = 0
  #ejectedUntil = Number.NEGATIVE_INFINITY
  #recoveredAt = Number.NEGATIVE_INFINITY
  #incarnation: number | undefined
  #wasHealthy = true

  /** Records how an attempt ended; cancelled attempts are ignored. */
  observe (end: AttemptEnd, now: number): void {
    if (end === AttemptEnd.Cancelled) return
    const failed = end === AttemptEnd.Failed
    this.#attemptCount++
    this.#failureRate += failureRateSmoothing * ((failed ? 1 : 0) - this.#failureRate)
    this.#consecutiveFailures = failed ? this.#consecutiveFailures + 1 : 0
    if (failed && this.#shouldEject() && now >= this.#ejectedUntil) this.#eject(now)
  }

  /** Updates the health: an endpoint that was unreachable or restarted begins a slow start. */
  observeHealth (healthy: boolean, incarnation: number | undefined, now: number): void {
    const restarted = this.#incarnation !== undefined && incarnation !== undefined && incarnation !== this.#incarnation
    if (healthy && (!this.#wasHealthy || restarted)) this.#recoveredAt = now
    this.#wasHealthy = healthy
    this.#incarnation = incarnation ?? this.#incarnation
  }

  /** Whether it is ejected at the given time. */
  isEjected (now: number): boolean {
    return now < this.#ejectedUntil
  }

  /**
   * Current weight: 0 while it is ejected, then rising to 1.
   *
   * @example
   * const weight = freeCapacity * outlierState.weight(now)
   */
  weight (now: number): number {
    if (this.isEjected(now)) return 0
    const slowStartAt = Math.max(this.#ejectedUntil, this.#recoveredAt)
    const share = (now - slowStartAt) / slowStartMilliseconds
    return Math.min(1, Math.max(minimumSlowStartWeight, share))
  }

  #shouldEject (): boolean {
    if (this.#consecutiveFailures >= consecutiveFailuresToEject) return true
    return this.#attemptCount >= minimumAttemptsForFailureRate && this.#failureRate >= failureRateToEject
  }

  #eject (now: number): void {
    if (now - this.#ejectedUntil > backoffResetMilliseconds) this.#ejectionCount = 0
    const duration = Math.min(maximumEjectionMilliseconds, baseEjectionMilliseconds * 2 ** this.#ejectionCount)
    this.#ejectionCount++
    this.#ejectedUntil = now + duration
    this.#consecutiveFailures = 0
    this.#failureRate = 0
    this.#attemptCount = 0
  }
}

/** Share of the candidates that must stay usable for ejections to apply. */
const minimumUsableShare = 0.5

/**
 * Weights of the candidates. If ejections would leave less than half of them, a common cause is assumed
 * and the ejections are ignored.
 *
 * @example
 * const weights = slowStartWeights(outlierStates, now)
 */
export function slowStartWeights (outlierStates: readonly OutlierState[], now: number): number[] {
  const weights = outlierStates.map(outlierState => outlierState.weight(now))
  const usable = weights.filter(weight => weight > 0).length
  if (usable >= outlierStates.length * minimumUsableShare) return weights
  return weights.map(weight => Math.max(weight, minimumSlowStartWeight))
}
