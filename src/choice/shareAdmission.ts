/**
 * Enforces each organisation's share without a counter common to all daemons. The load balancer
 * spreads the requests of every organisation over the daemons, so if each daemon divides what it
 * admits by the shares, the fleet is divided by them too. Each daemon admits a fraction of its demand,
 * controlled by the pressure that the engines report: all of it while they have free slots, less when
 * all slots are taken. That amount is divided by weighted max-min fairness: an organisation within its
 * share is always admitted, and unused shares are lent to the others in proportion to their shares.
 */
import { Err, Ok, Priority, Refusal, RefusalCode, type Result, RunState } from '../contract/index.ts'
import type { Admission, AdmissionPolicy, AdmissionRequest } from './contract.ts'
import { OrganisationDemand } from './organisationDemand.ts'
import { fairAllowances } from './maxMinFairness.ts'
import { WorkRate } from './workRate.ts'

export interface ShareAdmissionTuning {
  /** Setpoint: the pressure that the admitted fraction is controlled towards. */
  readonly targetPressure: number
  /** Immediate reduction of the admitted fraction per unit of pressure above the target. */
  readonly proportionalGain: number
  /** Relative change of the admitted fraction per step and unit of pressure error. */
  readonly integralGain: number
  /** Milliseconds between two control steps. */
  readonly stepIntervalMilliseconds: number
  /** An organisation whose demand exceeds its own share by more than this factor is flooding. */
  readonly floodingRatio: number
  /** At or above this pressure a flooding organisation is lent nothing and runs after the others. */
  readonly maximumLendingPressure: number
}

const defaultTuning: ShareAdmissionTuning = {
  targetPressure: 1.5,
  proportionalGain: 0.25,
  integralGain: 0.04,
  stepIntervalMilliseconds: 250,
  floodingRatio: 2,
  maximumLendingPressure: 0.9
}

const minimumAdmittedFraction = 0.02
/** Fraction of its share of the recently admitted work that an organisation is guaranteed at any pressure. */
const guaranteedFraction = 0.8
/** Limit of the pressure error that the controller reacts to: a long queue takes time to drain anyway. */
const maximumPressureError = 0.5
const maximumCatchUpSteps = 8
const maximumRetrySeconds = 30
/** Fraction of the allowance that each priority may use, so that less urgent work is refused first. */
const allowanceFractions: Record<Priority, number> = {
  [Priority.Interactive]: 1,
  [Priority.Normal]: 1,
  [Priority.Background]: 0.5
}

/**
 * Weighted fair admission at one daemon, for one pool of engines.
 *
 * @example
 * const admission = policy.admit(request, endpoints.pressure(version, views), clock.now())
 */
export class ShareAdmissionPolicy implements AdmissionPolicy {
  readonly #tuning: ShareAdmissionTuning
  readonly #demands = new Map<string, OrganisationDemand>()
  readonly #admitted = new WorkRate(0)
  #admittedFraction = 1
  #lastStepAt: number | undefined

  constructor (tuning: Partial<ShareAdmissionTuning> = {}) {
    this.#tuning = { ...defaultTuning, ...tuning }
  }

  admit (request: AdmissionRequest, pressure: number, now: number): Result<Admission, Refusal> {
    const demand = this.#demandOf(request, now)
    demand.recordDemand(request.work, now)
    this.#updateAllowances(pressure, now)
    const isFlooding = pressure >= this.#tuning.maximumLendingPressure && demand.ownShareRatio(request.work, now) > this.#tuning.floodingRatio
    const ratio = isFlooding ? Math.max(demand.allowanceRatio(request.work, now), demand.ownShareRatio(request.work, now)) : demand.allowanceRatio(request.work, now)
    const fraction = allowanceFractions[request.priority]
    if (ratio > fraction && !demand.tryAdmit(ratio, fraction)) return this.#refuse(request, demand)
    this.#admitted.add(request.work, now)
    return Ok({ withinShare: !isFlooding, close: () => {} })
  }

  #demandOf (request: AdmissionRequest, now: number): OrganisationDemand {
    const known = this.#demands.get(request.organisation)
    if (known !== undefined) {
      known.share = request.share
      return known
    }
    const demand = new OrganisationDemand(request.share, now)
    this.#demands.set(request.organisation, demand)
    return demand
  }

  #refuse (request: AdmissionRequest, demand: OrganisationDemand): Result<Admission, Refusal> {
    const seconds = Math.ceil(request.work / Math.max(Number.MIN_VALUE, demand.allowancePerSecond))
    const retryAfter = Math.min(maximumRetrySeconds, Math.max(1, seconds))
    const message = `organisation ${request.organisation} has used its share, and no unused capacity can be lent`
    return Err(new Refusal(RefusalCode.ShareExceeded, RunState.NotRun, message, retryAfter))
  }

  #updateAllowances (pressure: number, now: number): void {
    const elapsedMilliseconds = now - (this.#lastStepAt ?? Number.NEGATIVE_INFINITY)
    if (elapsedMilliseconds < this.#tuning.stepIntervalMilliseconds) return
    this.#lastStepAt = now
    this.#evictIdle(now)
    const fraction = this.#nextAdmittedFraction(pressure, Math.min(maximumCatchUpSteps, elapsedMilliseconds / this.#tuning.stepIntervalMilliseconds))
    this.#divideAllowances(fraction, now)
  }

  /** Runs one control step; the proportional reduction applies to this step only and is not stored. */
  #nextAdmittedFraction (pressure: number, steps: number): number {
    const pressureError = this.#tuning.targetPressure - pressure
    const boundedError = Math.min(maximumPressureError, Math.max(-maximumPressureError, pressureError))
    this.#admittedFraction = clampFraction(this.#admittedFraction * (1 + this.#tuning.integralGain * boundedError * steps))
    return clampFraction(this.#admittedFraction + Math.min(0, this.#tuning.proportionalGain * boundedError))
  }

  #divideAllowances (fraction: number, now: number): void {
    const demands = [...this.#demands.values()]
    const claimants = demands.map(demand => ({ share: demand.share, demand: demand.demandPerSecond(now) }))
    const totalDemand = claimants.reduce((sum, claimant) => sum + claimant.demand, 0)
    const allowances = fraction < 1 ? fairAllowances(claimants, totalDemand * fraction) : claimants.map(() => Number.POSITIVE_INFINITY)
    const totalShares = claimants.reduce((sum, claimant) => sum + claimant.share, 0)
    const perShare = this.#admitted.perSecond(now) / Math.max(Number.MIN_VALUE, totalShares)
    demands.forEach((demand, index) => {
      const ownPerSecond = perShare * demand.share
      demand.setAllowance(Math.max(allowances[index]!, guaranteedFraction * ownPerSecond), ownPerSecond)
    })
  }

  #evictIdle (now: number): void {
    for (const [organisation, demand] of this.#demands) {
      if (demand.isIdle(now)) this.#demands.delete(organisation)
    }
  }
}

function clampFraction (fraction: number): number {
  return Math.min(1, Math.max(minimumAdmittedFraction, fraction))
}
