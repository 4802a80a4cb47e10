/**
 * The choice of an endpoint. Each daemon decides alone from late reports, and many daemons read the
 * same one, so the least loaded endpoint of a report must not be everybody's choice. A few
 * endpoints are compared instead: the ones that the prompt's prefix or session belongs to, and two
 * drawn at random in proportion to their expected room (the power of two choices). Of these the
 * soonest first token wins, with the prefill that a cached prefix saves counted in. An endpoint
 * loaded well above the mean loses its claim on prefixes (hashing with bounded load).
 */
import { Nearness, Ok, type Place, type Randomness, type Refusal, type Result, type VersionName } from '../contract/index.ts'
import {
  AttemptEnd, type AttemptOutcome, type EndpointChoice, type EndpointPolicy, type EndpointRequest,
  type EndpointView, type OpenAttempt
} from './contract.ts'
import { AffinityKey } from './endpointAffinity.ts'
import { type Candidate, readCandidates, servesNear } from './endpointCandidates.ts'
import { loadOf, meanLoad, prefillMilliseconds, pressureOf } from './endpointEstimate.ts'
import type { RecentWork } from './endpointInFlight.ts'
import { LinkBudget } from './endpointLink.ts'
import { EndpointMemories, learnedSlowness } from './endpointMemory.ts'
import { deadlineTooNear, linkUsedUp, noEndpoint, overloaded } from './endpointRefusal.ts'
import { type EndpointTuning, endpointTuning } from './endpointTuning.ts'

/** What an endpoint policy is made of. */
export interface EndpointPolicyParts {
  /** Where the daemon stands. */
  readonly here: Place
  readonly randomness: Randomness
  /** This daemon's part of the link to the other region. */
  readonly link: LinkBudget
  readonly tuning?: Partial<EndpointTuning>
}

/** Below this fullness an endpoint always keeps its prefixes. */
const fullnessAlwaysKept = 0.5
const leastRoom = 0.02
const noOwnWork: RecentWork = { streams: 0, promptTokens: 0 }

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
  readonly #link: LinkBudget
  readonly #tuning: EndpointTuning
  readonly #memories = new EndpointMemories()
  readonly #picks = new WeakMap<EndpointChoice, Pick>()

  constructor (parts: EndpointPolicyParts) {
    this.#here = parts.here
    this.#randomness = parts.randomness
    this.#link = parts.link
    this.#tuning = { ...endpointTuning, ...parts.tuning }
  }

  choose (request: EndpointRequest, views: readonly EndpointView[], now: number): Result<EndpointChoice, Refusal> {
    this.#memories.readNews(views, now)
    this.#memories.observeRequest(request.version, request.remainingMilliseconds)
    const candidates = this.#read(request, views, now)
    if (candidates.length === 0) return noEndpoint(request.version)
    const near = candidates.filter(candidate => candidate.nearness !== Nearness.OtherRegion)
    const far = candidates.filter(candidate => candidate.nearness === Nearness.OtherRegion)
    const mayLeave = far.length > 0 && this.#link.allows(bytesOf(request), now)
    if (near.length === 0 && !mayLeave) return linkUsedUp(request.version)
    const nearChoice = this.#soonest(request, near)
    const farChoice = mayLeave ? this.#soonest(request, far) : undefined
    const chosen = this.#nearOrFar(nearChoice, farChoice)
    if (chosen === undefined) return noEndpoint(request.version)
    const reachable = mayLeave ? candidates : near
    const refusal = this.#refusalOf(request, chosen, reachable)
    if (refusal !== undefined) return refusal
    const choice = choiceOf(chosen)
    this.#picks.set(choice, chosen)
    return Ok(choice)
  }

  /**
   * How full the engines of a version are, for admission: 1 where all places are taken, and 1 more
   * where the wait for one is a quarter of the time that its requests usually have. The other
   * region's engines don't count.
   *
   * @example
   * const admission = limits.admit(request, policy.pressure('small@1', views), clock.now())
   */
  pressure (version: VersionName, views: readonly EndpointView[]): number {
    const able = views.filter(view => servesNear(view, version, this.#here))
    const loads = able.map(view => loadOf(view, noOwnWork, this.#tuning))
    return pressureOf(loads, this.#memories.usualRequest(version))
  }

  open (request: EndpointRequest, choice: EndpointChoice, now: number): OpenAttempt {
    const memory = this.#memories.of(choice.endpoint.name)
    const flying = memory.inFlight.add(request.promptTokens, now)
    const pick = this.#picks.get(choice)
    const crosses = choice.endpoint.place.region !== this.#here.region
    if (crosses) this.#link.charge(bytesOf(request), now)
    this.#memories.rememberUse(keyOf(request), choice.endpoint.name)
    return {
      firstToken: () => { flying.prefilled = true },
      close: (outcome: AttemptOutcome, closedAt: number) => {
        flying.prefilled = true
        flying.ended = true
        memory.standing.observe(outcome.end, closedAt)
        this.#memories.observeLength(request.version, outcome)
        if (pick !== undefined) this.#learnTimes(request, pick, outcome)
        if (outcome.end === AttemptEnd.Failed) this.#memories.forgetUse(keyOf(request))
      }
    }
  }

  #learnTimes (request: EndpointRequest, pick: Pick, { firstTokenMilliseconds }: AttemptOutcome): void {
    if (firstTokenMilliseconds === undefined) return
    const { queue, memory } = pick.candidate
    this.#memories.observeQueue(request.priority, queue, firstTokenMilliseconds - pick.prefill)
    memory.slowness = learnedSlowness(memory.slowness, firstTokenMilliseconds / pick.expected)
  }

  #read (request: EndpointRequest, views: readonly EndpointView[], now: number): Candidate[] {
    return readCandidates(request, views, {
      here: this.#here,
      tuning: this.#tuning,
      now,
      queueShare: this.#memories.queueShare(request.priority),
      meanCompletionTokens: this.#memories.meanCompletionTokens(request.version),
      memoryOf: view => this.#memories.of(view.endpoint.name)
    })
  }

  #soonest (request: EndpointRequest, candidates: readonly Candidate[]): Pick | undefined {
    if (candidates.length === 0) return undefined
    const owners = this.#owners(request, candidates)
    const picks = [...owners, ...this.#sampled(request, candidates)]
    return picks.reduce((best, pick) => this.#burden(pick) < this.#burden(best) ? pick : best)
  }

  /** The endpoints that the request's prefix or session belongs to and that aren't loaded too far. */
  #owners (request: EndpointRequest, candidates: readonly Candidate[]): Pick[] {
    const bound = Math.max(fullnessAlwaysKept, this.#tuning.loadBound * meanLoad(candidates.map(candidate => candidate.load)).fullness)
    const keeps = (candidate: Candidate) => candidate.load.fullness <= bound && this.#randomness.fraction() < candidate.standing
    const used = this.#memories.lastUse(keyOf(request))
    const usedCandidate = candidates.find(candidate => candidate.view.endpoint.name === used)
    if (usedCandidate !== undefined && keeps(usedCandidate)) return [this.#cachedPick(request, usedCandidate)]
    const key = new AffinityKey(keyOf(request))
    const claims = candidates.map(candidate => ({ candidate, claim: key.claimOf(candidate.view.endpoint.name, candidate.capacity) }))
    const strongest = largest(claims, this.#tuning.affinityChoices)
    const owner = strongest.find(({ candidate }) => keeps(candidate))
    return owner === undefined ? [] : [this.#cachedPick(request, owner.candidate)]
  }

  #cachedPick (request: EndpointRequest, candidate: Candidate): Pick {
    const share = request.session === undefined ? this.#tuning.prefixCachedShare : this.#tuning.sessionCachedShare
    const prefill = prefillMilliseconds(candidate.load, request.promptTokens, request.promptTokens * share)
    const saved = prefillMilliseconds(candidate.load, request.promptTokens, 0) - prefill
    return { candidate, prefill, expected: Math.max(1, candidate.expected - saved * candidate.memory.slowness) }
  }

  #plainPick (request: EndpointRequest, candidate: Candidate): Pick {
    return { candidate, prefill: prefillMilliseconds(candidate.load, request.promptTokens, 0), expected: candidate.expected }
  }

  /** What a choice costs this request and, by the prefill that others then wait for, the next ones. */
  #burden (pick: Pick): number {
    return pick.expected + this.#tuning.prefillBurden * pick.prefill
  }

  /** Endpoints drawn in proportion to their expected room. */
  #sampled (request: EndpointRequest, candidates: readonly Candidate[]): Pick[] {
    const rooms = candidates.map(candidate => candidate.standing * candidate.capacity * Math.max(leastRoom, 1 - candidate.load.fullness))
    const total = rooms.reduce((sum, room) => sum + room, 0)
    const picks: Pick[] = []
    for (let draw = 0; draw < this.#tuning.sampledChoices; draw++) {
      const candidate = candidates[this.#drawn(rooms, total)]!
      picks.push(this.#plainPick(request, candidate))
    }
    return picks
  }

  #drawn (rooms: readonly number[], total: number): number {
    let left = this.#randomness.fraction() * total
    for (let index = 0; index < rooms.length; index++) {
      left -= rooms[index]!
      if (left < 0) return index
    }
    return rooms.length - 1
  }

  #nearOrFar (near: Pick | undefined, far: Pick | undefined): Pick | undefined {
    if (near === undefined || far === undefined) return near ?? far
    return far.expected + this.#tuning.otherRegionGainMilliseconds < near.expected ? far : near
  }

  /** Refuses only where even the soonest endpoint of all would be late. */
  #refusalOf (request: EndpointRequest, chosen: Pick, reachable: readonly Candidate[]): Result<never, Refusal> | undefined {
    const wholeOf = (pick: Pick) => pick.expected + request.expectedCompletionTokens * pick.candidate.load.betweenTokensMilliseconds
    if (wholeOf(chosen) <= request.remainingMilliseconds) return undefined
    const picks = [chosen, ...reachable.map(candidate => this.#plainPick(request, candidate))]
    const soonest = picks.reduce((best, pick) => wholeOf(pick) < wholeOf(best) ? pick : best)
    const needed = wholeOf(soonest)
    if (needed <= request.remainingMilliseconds) return undefined
    const wait = soonest.candidate.wait
    if (needed - wait > request.remainingMilliseconds) return deadlineTooNear(needed - wait)
    return overloaded(wait, needed - request.remainingMilliseconds)
  }
}

interface Pick {
  readonly candidate: Candidate
  /** Milliseconds of an accelerator that the prompt takes. */
  readonly prefill: number
  /** Expected milliseconds until the first token, with what is cached counted in. */
  readonly expected: number
}

interface Claim {
  readonly candidate: Candidate
  readonly claim: number
}

function keyOf (request: EndpointRequest): string {
  return request.session ?? request.prefixKey
}

function bytesOf (request: EndpointRequest): number {
  return LinkBudget.bytesOf(request.promptTokens, request.expectedCompletionTokens)
}

function choiceOf (pick: Pick): EndpointChoice {
  return { endpoint: pick.candidate.view.endpoint, expectedFirstTokenMilliseconds: pick.expected }
}

function largest (claims: Claim[], count: number): Claim[] {
  return claims.sort((left, right) => right.claim - left.claim).slice(0, count)
}
