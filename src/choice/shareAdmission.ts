/**
 * Each organisation's share without a counter that all daemons share. The balancer spreads every
 * organisation's requests over the daemons, so a daemon that divides what it lets in itself by the
 * shares divides the fleet by them. How much it lets in is a part of what is asked of it, steered by
 * the pressure that the engines report: all of it while they have room, less while their places are
 * all taken. That part is divided by weighted max-min fairness: who keeps within its share is always
 * let in, and what it leaves unused is lent to the others in proportion to their shares.
 */
import { Err, Ok, Priority, Refusal, RefusalCode, type Result, RunState } from '../contract/index.ts'
import type { Admission, AdmissionPolicy, AdmissionRequest } from './contract.ts'
import { OrganisationDemand } from './organisationDemand.ts'
import { fairAllowances } from './maxMinFairness.ts'
import { WorkRate } from './workRate.ts'

/** The figures of the admission by shares. */
export interface ShareAdmissionTuning {
  /** The pressure that the admitted part is steered to. */
  readonly targetPressure: number
  /** How much of the part is cut at once for each unit of pressure above the target. */
  readonly proportionalGain: number
  /** How much the part changes in each step for each unit of pressure off the target. */
  readonly integralGain: number
  /** Milliseconds between two steps. */
  readonly stepIntervalMilliseconds: number
  /** An organisation that asks for more than so many times its own share floods. */
  readonly floodingRatio: number
  /** From this pressure on nothing is lent to one that floods, and it runs after the others. */
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
/** An organisation's share of so much of what was let in lately is its own, whatever the pressure says just now. */
const guaranteedFraction = 0.8
/** Pressure further off the target is steered by as if it were this far off: a long queue takes time to drain anyway. */
const maximumPressureError = 0.5
const maximumCatchUpSteps = 8
const maximumRetrySeconds = 30
/** The part of its allowance that work of a priority may use, so that less urgent work gives way first. */
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
    const message = `${request.organisation} has used its share, and nothing is left over to lend`
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

  /** Moves the admitted part towards the target; the share that is cut at once is not kept. */
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
