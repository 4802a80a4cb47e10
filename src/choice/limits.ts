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
import { OrganisationDemand } from './limitsDemand.ts'
import { fairAllowances } from './limitsFairness.ts'
import { WorkRate } from './limitsRate.ts'

/** The figures of the admission by shares. */
export interface ShareAdmissionTuning {
  /** The pressure that the admitted part is steered to. */
  readonly targetPressure: number
  /** How much of the part is cut at once for each unit of pressure above the target. */
  readonly proportionalGain: number
  /** How much the part changes in each step for each unit of pressure off the target. */
  readonly integralGain: number
  /** Milliseconds between two steps. */
  readonly stepMilliseconds: number
  /** An organisation that asks for more than so many times its own share floods. */
  readonly floodingExcess: number
  /** From this pressure on nothing is lent to one that floods, and it runs after the others. */
  readonly lendingPressure: number
}

const defaultTuning: ShareAdmissionTuning = {
  targetPressure: 1.5,
  proportionalGain: 0.25,
  integralGain: 0.04,
  stepMilliseconds: 250,
  floodingExcess: 2,
  lendingPressure: 0.9
}

const leastPart = 0.02
/** An organisation's share of so much of what was let in lately is its own, whatever the pressure says just now. */
const assuredPart = 0.8
/** Pressure further off the target is steered by as if it were this far off: a long queue takes time to drain anyway. */
const mostOff = 0.5
const mostSteps = 8
const longestRetrySeconds = 30
/** The part of its allowance that work of a priority may use, so that less urgent work gives way first. */
const allowedPart: Record<Priority, number> = {
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
  readonly #taken = new WorkRate(0)
  #part = 1
  #steppedAt: number | undefined

  constructor (tuning: Partial<ShareAdmissionTuning> = {}) {
    this.#tuning = { ...defaultTuning, ...tuning }
  }

  admit (request: AdmissionRequest, pressure: number, now: number): Result<Admission, Refusal> {
    const demand = this.#demandOf(request, now)
    demand.offer(request.work, now)
    this.#step(pressure, now)
    const floods = pressure >= this.#tuning.lendingPressure && demand.excessOfOwn(request.work, now) > this.#tuning.floodingExcess
    const excess = floods ? Math.max(demand.excess(request.work, now), demand.excessOfOwn(request.work, now)) : demand.excess(request.work, now)
    const part = allowedPart[request.priority]
    if (excess > part && !demand.isNext(excess, part)) return this.#refuse(request, demand)
    this.#taken.add(request.work, now)
    return Ok({ withinShare: !floods, close: () => {} })
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
    const seconds = Math.ceil(request.work / Math.max(Number.MIN_VALUE, demand.allowance))
    const retryAfter = Math.min(longestRetrySeconds, Math.max(1, seconds))
    const message = `${request.organisation} has used its share, and nothing is left over to lend`
    return Err(new Refusal(RefusalCode.ShareExceeded, RunState.NotRun, message, retryAfter))
  }

  #step (pressure: number, now: number): void {
    const since = now - (this.#steppedAt ?? Number.NEGATIVE_INFINITY)
    if (since < this.#tuning.stepMilliseconds) return
    this.#steppedAt = now
    this.#forgetIdle(now)
    const part = this.#movedPart(pressure, Math.min(mostSteps, since / this.#tuning.stepMilliseconds))
    this.#divide(part, now)
  }

  /** Moves the admitted part towards the target; the share that is cut at once is not kept. */
  #movedPart (pressure: number, steps: number): number {
    const off = this.#tuning.targetPressure - pressure
    const room = Math.min(mostOff, Math.max(-mostOff, off))
    this.#part = clamped(this.#part * (1 + this.#tuning.integralGain * room * steps))
    return clamped(this.#part + Math.min(0, this.#tuning.proportionalGain * room))
  }

  #divide (part: number, now: number): void {
    const demands = [...this.#demands.values()]
    const claimants = demands.map(demand => ({ share: demand.share, wanted: demand.offeredPerSecond(now) }))
    const wanted = claimants.reduce((sum, claimant) => sum + claimant.wanted, 0)
    const allowances = part < 1 ? fairAllowances(claimants, wanted * part) : claimants.map(() => Number.POSITIVE_INFINITY)
    const shares = claimants.reduce((sum, claimant) => sum + claimant.share, 0)
    const perShare = this.#taken.perSecond(now) / Math.max(Number.MIN_VALUE, shares)
    demands.forEach((demand, index) => {
      const own = perShare * demand.share
      demand.allow(Math.max(allowances[index]!, assuredPart * own), own)
    })
  }

  #forgetIdle (now: number): void {
    for (const [organisation, demand] of this.#demands) {
      if (demand.idle(now)) this.#demands.delete(organisation)
    }
  }
}

function clamped (part: number): number {
  return Math.min(1, Math.max(leastPart, part))
}
