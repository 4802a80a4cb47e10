/**
 * Endpoint selection. Each daemon decides on its own from delayed load reports that all daemons read,
 * so sending every request to the least loaded endpoint would make them all choose the same one.
 * Instead, a few endpoints are compared: the one with affinity to the prompt's prefix or session, and
 * two sampled in proportion to their expected free capacity (the power of two choices). The one with
 * the earliest expected first token wins, taking into account the prefill time that a cached prefix
 * saves. An endpoint loaded well above the mean loses its affinity (hashing with bounded loads).
 */
import { Proximity, Ok, type Place, type Randomness, type Refusal, type Result, type VersionName } from '../contract/index.ts'
import {
  AttemptEnd, type AttemptOutcome, type EndpointChoice, type EndpointPolicy, type EndpointRequest,
  type EndpointView, type AttemptHandle
} from './contract.ts'
import { AffinityKey } from './endpointAffinity.ts'
import { type EndpointCandidate, buildCandidates, servesInRegion } from './endpointCandidates.ts'
import { estimateLoad, meanLoad, estimatePrefillMilliseconds, poolPressure } from './endpointLoadEstimate.ts'
import type { UnreportedWork } from './endpointInFlight.ts'
import { RegionLinkBudget } from './regionLinkBudget.ts'
import { EndpointHistory, updatedLatencyFactor } from './endpointHistory.ts'
import { deadlineTooNear, linkBudgetExhausted, noEndpoint, overloaded } from './endpointRefusal.ts'
import { type EndpointTuning, defaultEndpointTuning } from './endpointTuning.ts'

export interface EndpointPolicyOptions {
  /** The daemon's location. */
  readonly here: Place
  readonly randomness: Randomness
  /** This daemon's bandwidth budget on the link to the other region. */
  readonly link: RegionLinkBudget
  readonly tuning?: Partial<EndpointTuning>
}

/** At or below this utilisation an endpoint always keeps its affinity. */
const minimumLoadBound = 0.5
const minimumFreeShare = 0.02
const noUnreportedWork: UnreportedWork = { streams: 0, promptTokens: 0 }

/**
 * Chooses endpoints by expected time to the first token.
 *
 * @example
 * const policy = new AffinityEndpointPolicy({ here, randomness, link })
 * const choice = policy.choose(request, views, clock.now())
 */
export class AffinityEndpointPolicy implements EndpointPolicy {
  readonly #here: Place
  readonly #randomness: Randomness
  readonly #link: RegionLinkBudget
  readonly #tuning: EndpointTuning
  readonly #history = new EndpointHistory()
  readonly #estimates = new WeakMap<EndpointChoice, CandidateEstimate>()

  constructor (options: EndpointPolicyOptions) {
    this.#here = options.here
    this.#randomness = options.randomness
    this.#link = options.link
    this.#tuning = { ...defaultEndpointTuning, ...options.tuning }
  }

  choose (request: EndpointRequest, views: readonly EndpointView[], now: number): Result<EndpointChoice, Refusal> {
    this.#history.observeHealth(views, now)
    this.#history.observeRequest(request.version, request.remainingMilliseconds)
    const candidates = this.#candidatesFor(request, views, now)
    if (candidates.length === 0) return noEndpoint(request.version)
    const near = candidates.filter(candidate => candidate.nearness !== Proximity.OtherRegion)
    const far = candidates.filter(candidate => candidate.nearness === Proximity.OtherRegion)
    const mayUseFar = far.length > 0 && this.#link.allows(estimatedBytes(request), now)
    if (near.length === 0 && !mayUseFar) return linkBudgetExhausted(request.version)
    const nearChoice = this.#fastest(request, near)
    const farChoice = mayUseFar ? this.#fastest(request, far) : undefined
    const chosen = this.#nearOrFarEstimate(nearChoice, farChoice)
    if (chosen === undefined) return noEndpoint(request.version)
    const reachable = mayUseFar ? candidates : near
    const refusal = this.#refusalOf(request, chosen, reachable)
    if (refusal !== undefined) return refusal
    const choice = choiceOf(chosen)
    this.#estimates.set(choice, chosen)
    return Ok(choice)
  }

  /**
   * Load on the engines of a version, for admission: 1 when all slots are taken, plus 1 when the wait
   * for a slot is a quarter of the time that requests of the version typically have left. Engines of
   * the other region are not counted.
   *
   * @example
   * const admission = limits.admit(request, policy.pressure('small@1', views), clock.now())
   */
  pressure (version: VersionName, views: readonly EndpointView[]): number {
    const serving = views.filter(view => servesInRegion(view, version, this.#here))
    const loads = serving.map(view => estimateLoad(view, noUnreportedWork, this.#tuning))
    return poolPressure(loads, this.#history.typicalRequest(version))
  }

  open (request: EndpointRequest, choice: EndpointChoice, now: number): AttemptHandle {
    const state = this.#history.stateOf(choice.endpoint.name)
    const inFlightAttempt = state.inFlight.add(request.promptTokens, now)
    const estimate = this.#estimates.get(choice)
    const crossesRegions = choice.endpoint.place.region !== this.#here.region
    if (crossesRegions) this.#link.charge(estimatedBytes(request), now)
    this.#history.rememberPlacement(affinityKeyOf(request), choice.endpoint.name)
    return {
      recordFirstToken: () => { inFlightAttempt.prefilled = true },
      close: (outcome: AttemptOutcome, closedAt: number) => {
        inFlightAttempt.prefilled = true
        inFlightAttempt.ended = true
        state.outlierState.observe(outcome.end, closedAt)
        this.#history.observeCompletionLength(request.version, outcome)
        if (estimate !== undefined) this.#observeTimes(request, estimate, outcome)
        if (outcome.end === AttemptEnd.Failed) this.#history.forgetPlacement(affinityKeyOf(request))
      }
    }
  }

  #observeTimes (request: EndpointRequest, estimate: CandidateEstimate, { firstTokenMilliseconds }: AttemptOutcome): void {
    if (firstTokenMilliseconds === undefined) return
    const { queueMilliseconds: queueDelay, state: endpointState } = estimate.candidate
    this.#history.observeQueue(request.priority, queueDelay, firstTokenMilliseconds - estimate.prefillMilliseconds)
    endpointState.latencyFactor = updatedLatencyFactor(endpointState.latencyFactor, firstTokenMilliseconds / estimate.expectedFirstTokenMilliseconds)
  }

  #candidatesFor (request: EndpointRequest, views: readonly EndpointView[], now: number): EndpointCandidate[] {
    return buildCandidates(request, views, {
      here: this.#here,
      tuning: this.#tuning,
      now,
      queueFactor: this.#history.queueFactor(request.priority),
      meanCompletionTokens: this.#history.meanCompletionTokens(request.version),
      stateOf: view => this.#history.stateOf(view.endpoint.name)
    })
  }

  #fastest (request: EndpointRequest, candidates: readonly EndpointCandidate[]): CandidateEstimate | undefined {
    if (candidates.length === 0) return undefined
    const affinityEstimates = this.#affinityEstimates(request, candidates)
    const estimates = [...affinityEstimates, ...this.#sampledEstimates(request, candidates)]
    return estimates.reduce((best, estimate) => this.#weightedCost(estimate) < this.#weightedCost(best) ? estimate : best)
  }

  /** Estimates the endpoint with affinity to the request's prefix or session, unless it is above the load bound. */
  #affinityEstimates (request: EndpointRequest, candidates: readonly EndpointCandidate[]): CandidateEstimate[] {
    const bound = Math.max(minimumLoadBound, this.#tuning.loadBoundFactor * meanLoad(candidates.map(candidate => candidate.load)).utilisation)
    const keepsAffinity = (candidate: EndpointCandidate) => candidate.load.utilisation <= bound && this.#randomness.fraction() < candidate.slowStartWeight
    const lastPlacement = this.#history.lastPlacement(affinityKeyOf(request))
    const lastCandidate = candidates.find(candidate => candidate.view.endpoint.name === lastPlacement)
    if (lastCandidate !== undefined && keepsAffinity(lastCandidate)) return [this.#cachedEstimate(request, lastCandidate)]
    const key = new AffinityKey(affinityKeyOf(request))
    const scored = candidates.map(candidate => ({ candidate, score: key.rendezvousScore(candidate.view.endpoint.name, candidate.capacity) }))
    const highest = highestScores(scored, this.#tuning.affinityCandidateCount)
    const owner = highest.find(({ candidate }) => keepsAffinity(candidate))
    return owner === undefined ? [] : [this.#cachedEstimate(request, owner.candidate)]
  }

  #cachedEstimate (request: EndpointRequest, candidate: EndpointCandidate): CandidateEstimate {
    const share = request.session === undefined ? this.#tuning.prefixCachedShare : this.#tuning.sessionCachedShare
    const prefill = estimatePrefillMilliseconds(candidate.load, request.promptTokens, request.promptTokens * share)
    const saved = estimatePrefillMilliseconds(candidate.load, request.promptTokens, 0) - prefill
    return { candidate, prefillMilliseconds: prefill, expectedFirstTokenMilliseconds: Math.max(1, candidate.expectedFirstTokenMilliseconds - saved * candidate.state.latencyFactor) }
  }

  #uncachedEstimate (request: EndpointRequest, candidate: EndpointCandidate): CandidateEstimate {
    return { candidate, prefillMilliseconds: estimatePrefillMilliseconds(candidate.load, request.promptTokens, 0), expectedFirstTokenMilliseconds: candidate.expectedFirstTokenMilliseconds }
  }

  /** Cost of a choice for this request and, by the prefill time they wait for, for the requests behind it. */
  #weightedCost (estimate: CandidateEstimate): number {
    return estimate.expectedFirstTokenMilliseconds + this.#tuning.prefillWeight * estimate.prefillMilliseconds
  }

  /** Samples endpoints in proportion to their expected free capacity. */
  #sampledEstimates (request: EndpointRequest, candidates: readonly EndpointCandidate[]): CandidateEstimate[] {
    const weights = candidates.map(candidate => candidate.slowStartWeight * candidate.capacity * Math.max(minimumFreeShare, 1 - candidate.load.utilisation))
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    const estimates: CandidateEstimate[] = []
    for (let draw = 0; draw < this.#tuning.sampleCount; draw++) {
      const candidate = candidates[this.#sampleIndex(weights, total)]!
      estimates.push(this.#uncachedEstimate(request, candidate))
    }
    return estimates
  }

  #sampleIndex (weights: readonly number[], total: number): number {
    let remainder = this.#randomness.fraction() * total
    for (let index = 0; index < weights.length; index++) {
      remainder -= weights[index]!
      if (remainder < 0) return index
    }
    return weights.length - 1
  }

  #nearOrFarEstimate (near: CandidateEstimate | undefined, far: CandidateEstimate | undefined): CandidateEstimate | undefined {
    if (near === undefined || far === undefined) return near ?? far
    return far.expectedFirstTokenMilliseconds + this.#tuning.otherRegionMinimumGainMilliseconds < near.expectedFirstTokenMilliseconds ? far : near
  }

  /** Refuses a request only if even the fastest reachable endpoint would miss its deadline. */
  #refusalOf (request: EndpointRequest, chosen: CandidateEstimate, reachable: readonly EndpointCandidate[]): Result<never, Refusal> | undefined {
    const completionMilliseconds = (estimate: CandidateEstimate) => estimate.expectedFirstTokenMilliseconds + request.expectedCompletionTokens * estimate.candidate.load.betweenTokensMilliseconds
    if (completionMilliseconds(chosen) <= request.remainingMilliseconds) return undefined
    const estimates = [chosen, ...reachable.map(candidate => this.#uncachedEstimate(request, candidate))]
    const fastest = estimates.reduce((best, estimate) => completionMilliseconds(estimate) < completionMilliseconds(best) ? estimate : best)
    const neededMilliseconds = completionMilliseconds(fastest)
    if (neededMilliseconds <= request.remainingMilliseconds) return undefined
    const waitMilliseconds = fastest.candidate.waitMilliseconds
    if (neededMilliseconds - waitMilliseconds > request.remainingMilliseconds) return deadlineTooNear(neededMilliseconds - waitMilliseconds)
    return overloaded(waitMilliseconds, neededMilliseconds - request.remainingMilliseconds)
  }
}

interface CandidateEstimate {
  readonly candidate: EndpointCandidate
  /** Accelerator milliseconds for the prefill of the prompt. */
  readonly prefillMilliseconds: number
  /** Expected milliseconds until the first token, including the effect of a cached prefix. */
  readonly expectedFirstTokenMilliseconds: number
}

interface ScoredCandidate {
  readonly candidate: EndpointCandidate
  readonly score: number
}

function affinityKeyOf (request: EndpointRequest): string {
  return request.session ?? request.prefixKey
}

function estimatedBytes (request: EndpointRequest): number {
  return RegionLinkBudget.estimateBytes(request.promptTokens, request.expectedCompletionTokens)
}

function choiceOf (estimate: CandidateEstimate): EndpointChoice {
  return { endpoint: estimate.candidate.view.endpoint, expectedFirstTokenMilliseconds: estimate.expectedFirstTokenMilliseconds }
}

function highestScores (scored: ScoredCandidate[], count: number): ScoredCandidate[] {
  return scored.sort((left, right) => right.score - left.score).slice(0, count)
}
