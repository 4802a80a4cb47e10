/**
 * Each organisation's share without a counter that all daemons share. The balancer spreads every
 * organisation's requests over the daemons, so a daemon that divides what it lets in itself by the
 * shares divides the fleet by them. How much a daemon may let in follows the pressure that the
 * engines report: the level falls while they are too full and grows while they are not. The level is
 * divided by weighted max-min fairness: nobody is given more than it asks for, and what is left over
 * is lent to the others in proportion to their shares.
 */
import { Err, Ok, Priority, Refusal, RefusalCode, type Result, RunState } from '../contract/index.ts'
import type { Admission, AdmissionPolicy, AdmissionRequest } from './contract.ts'
import { fairAllowances } from './limitsFairness.ts'
import { OrganisationDemand } from './limitsDemand.ts'

/** The figures of the admission by shares. */
export interface ShareAdmissionTuning {
  /** The pressure that the level steers to. */
  readonly targetPressure: number
  /** Below this pressure everybody is let in. */
  readonly freePressure: number
  /** How fast the level follows the pressure: the exponent of one step. */
  readonly gain: number
  /** Milliseconds between two divisions of the level. */
  readonly stepMilliseconds: number
  /** Seconds of its allowance that an organisation may use at once. */
  readonly burstSeconds: number
}

const defaultTuning: ShareAdmissionTuning = {
  targetPressure: 0.95,
  freePressure: 0.6,
  gain: 0.15,
  stepMilliseconds: 250,
  burstSeconds: 2
}

const longestRetrySeconds = 30
/** The level is at least this part of what is being let in. */
const leastLevel = 0.5
/** The level is at most this factor above what is being let in, or what the pressure leaves room for. */
const mostLevel = 1.2
const leastPressure = 0.05
/** The part of a burst that is kept back from work of this priority. */
const keptBack: Record<Priority, number> = {
  [Priority.Interactive]: 0,
  [Priority.Normal]: 0.1,
  [Priority.Background]: 0.5
}

/**
 * Weighted fair admission at one daemon, for one pool of engines.
 *
 * @example
 * const admission = policy.admit(request, pressureOf(views), clock.now())
 */
export class ShareAdmissionPolicy implements AdmissionPolicy {
  readonly #tuning: ShareAdmissionTuning
  readonly #demands = new Map<string, OrganisationDemand>()
  #level: number | undefined
  #steppedAt: number | undefined

  constructor (tuning: Partial<ShareAdmissionTuning> = {}) {
    this.#tuning = { ...defaultTuning, ...tuning }
  }

  admit (request: AdmissionRequest, pressure: number, now: number): Result<Admission, Refusal> {
    const demand = this.#demandOf(request, now)
    demand.offer(request.work, now)
    this.#step(pressure, now)
    const withinShare = demand.withinShare(this.#levelNow(), request.totalShares, now)
    if (pressure < this.#tuning.freePressure) return this.#letIn(demand, request, withinShare, now)
    const missing = demand.missing(keptBack[request.priority], this.#tuning.burstSeconds, now)
    if (missing > 0) return this.#refuse(request, demand, missing)
    return this.#letIn(demand, request, withinShare, now)
  }

  #levelNow (): number {
    return this.#level ?? Number.POSITIVE_INFINITY
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

  #letIn (demand: OrganisationDemand, request: AdmissionRequest, withinShare: boolean, now: number): Result<Admission, Refusal> {
    demand.take(request.work, now)
    return Ok({ withinShare, close: () => {} })
  }

  #refuse (request: AdmissionRequest, demand: OrganisationDemand, missing: number): Result<Admission, Refusal> {
    const seconds = Math.min(longestRetrySeconds, Math.max(1, Math.ceil(missing / Math.max(1e-9, demand.allowance))))
    const message = `${request.organisation} has used its share, and nothing is left over to lend`
    return Err(new Refusal(RefusalCode.ShareExceeded, RunState.NotRun, message, seconds))
  }

  #step (pressure: number, now: number): void {
    if (this.#steppedAt !== undefined && now - this.#steppedAt < this.#tuning.stepMilliseconds) return
    const steps = this.#steppedAt === undefined ? 1 : Math.min(8, (now - this.#steppedAt) / this.#tuning.stepMilliseconds)
    this.#steppedAt = now
    this.#forgetIdle(now)
    this.#moveLevel(pressure, steps, now)
    const demands = [...this.#demands.values()]
    const wanted = demands.map(demand => ({ share: demand.share, wanted: demand.offeredPerSecond(now) }))
    const allowances = fairAllowances(wanted, this.#levelNow())
    demands.forEach((demand, index) => demand.allow(allowances[index]!, this.#tuning.burstSeconds, now))
  }

  #moveLevel (pressure: number, steps: number, now: number): void {
    const taken = this.#sum(demand => demand.takenPerSecond(now))
    const level = this.#level ?? taken
    const room = this.#tuning.targetPressure / Math.max(leastPressure, pressure)
    const moved = level * room ** (this.#tuning.gain * steps)
    this.#level = Math.min(taken * Math.max(mostLevel, room), Math.max(taken * leastLevel, moved))
  }

  #sum (read: (demand: OrganisationDemand) => number): number {
    let sum = 0
    for (const demand of this.#demands.values()) sum += read(demand)
    return sum
  }

  #forgetIdle (now: number): void {
    for (const [organisation, demand] of this.#demands) {
      if (demand.idle(now)) this.#demands.delete(organisation)
    }
  }
}
