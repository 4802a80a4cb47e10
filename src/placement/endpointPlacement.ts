/**
 * Chooses the endpoint for a request. A candidate's cost is the time that the request is expected to
 * take there: this daemon's queued work, the prefill of uncached prompt parts, the network distance,
 * and a penalty for recent failures. The shared part of a prompt is owned by one endpoint per data
 * centre, chosen by rendezvous hashing, so all daemons agree on it without communicating. Because work
 * in progress counts as well, a popular part spreads to other endpoints when its owner is busy.
 *
 * An endpoint whose rate limit is used up is no candidate, so that its prompts move to their next owner at
 * once; of its last place only requests make use that profit from this endpoint.
 *
 * This covers a hot key (its owner fills up), a burst (work spreads by cost) and a data centre that
 * lost its endpoints (another region is expensive but not excluded).
 */
import { AffinityKey } from '../choice/index.ts'
import { Proximity, type Place, type Randomness, proximityOf } from '../contract/index.ts'
import type { EndpointLimits, PlaceForecast } from '../rateLimit/index.ts'
import { instanceKey, type PromptPart, type RoutedEndpoint, ratedEndpoint } from '../routing/index.ts'
import type { EndpointLoads } from './endpointLoads.ts'
import type { RequestWork } from './requestWork.ts'

/** Cost of the network distance to an endpoint, in milliseconds of work. */
const streamDistanceMilliseconds = { [Proximity.SameDataCentre]: 0, [Proximity.SameRegion]: 15, [Proximity.OtherRegion]: 400 } as const
const plainDistanceMilliseconds = { [Proximity.SameDataCentre]: 0, [Proximity.SameRegion]: 8, [Proximity.OtherRegion]: 90 } as const
/** Share of this daemon's work at an endpoint that delays a new request; engines process many requests concurrently. */
const queuedWorkShare = 0.5
/** With more candidates than this, only a sample is compared. */
const maximumComparedCandidates = 24
/** Costs within this share of the lowest count as equal; a random choice among them keeps daemons from picking the same endpoint. */
const costTolerance = 0.05

/** Weight of the latest request in the mean of their work. */
const meanWorkSmoothing = 0.05

/** Properties of a request that determine its placement. */
export interface PlacementRequest {
  readonly isStream: boolean
  readonly work: RequestWork
  readonly promptTokens: number
  readonly promptParts: readonly PromptPart[]
  readonly model: string | undefined
  /** Whether it goes on with a response that another endpoint began. */
  readonly isResumed?: boolean
}

/**
 * Chooses endpoints.
 *
 * @example
 * const endpoint = placement.choose(request, roster.serving('engines', now), now)
 */
export class EndpointPlacement {
  readonly #localPlace: Place
  readonly #loads: EndpointLoads
  readonly #randomness: Randomness
  readonly #limits: EndpointLimits
  #meanWorkMilliseconds = 0

  constructor (localPlace: Place, loads: EndpointLoads, randomness: Randomness, limits: EndpointLimits) {
    this.#localPlace = localPlace
    this.#loads = loads
    this.#randomness = randomness
    this.#limits = limits
  }

  /**
   * The endpoint that is expected to answer soonest.
   *
   * @returns undefined if no candidate is eligible
   */
  choose (request: PlacementRequest, candidates: readonly RoutedEndpoint[], now: number): RoutedEndpoint | undefined {
    const able = candidates.filter(endpoint => runsModel(endpoint, request.model) && this.#limits.hasPlace(ratedEndpoint(endpoint), now))
    const compared = this.#sample(this.#availableAmong(able, now))
    const owners = this.#promptOwnersAmong(request, compared)
    const isLimited = compared.some(endpoint => this.#limits.isLimited(ratedEndpoint(endpoint), now))
    const waitOf = (endpoint: RoutedEndpoint) => isLimited ? this.#loads.waitMillisecondsAt(endpoint, now) : 0
    const priced = this.#sparingPlaces(request, compared, now).map(endpoint => ({ endpoint, cost: this.#costOf(request, endpoint, owners) + waitOf(endpoint) }))
    const lowestCost = Math.min(...priced.map(({ cost }) => cost))
    const best = priced.filter(({ cost }) => cost <= lowestCost * (1 + costTolerance))
    return best[this.#randomness.integerBelow(best.length)]?.endpoint
  }

  /** When the rate limits of the candidates leave a place for a request. Without eligible candidates there is nothing to wait for: the rate is infinite. */
  forecast ({ model }: PlacementRequest, candidates: readonly RoutedEndpoint[], now: number): PlaceForecast {
    const eligible = candidates.filter(endpoint => runsModel(endpoint, model) && !this.#loads.isFull(endpoint, now)).map(ratedEndpoint)
    if (eligible.length === 0) return { millisecondsToPlace: 0, placesPerSecond: Number.POSITIVE_INFINITY }
    return { millisecondsToPlace: this.#limits.millisecondsToPlace(eligible, now), placesPerSecond: this.#limits.requestsPerSecondAt(eligible, now) }
  }

  /**
   * A limit counts requests and not their work, so its places relieve the other endpoints most when large
   * requests use them. These go there first; smaller ones leave the last place free.
   */
  #sparingPlaces (request: PlacementRequest, candidates: readonly RoutedEndpoint[], now: number): readonly RoutedEndpoint[] {
    if (request.isResumed === true || this.#isLarge(request)) return candidates
    const sparing = candidates.filter(endpoint => this.#limits.hasSparePlace(ratedEndpoint(endpoint), now))
    return sparing.length > 0 ? sparing : candidates
  }

  #isLarge ({ work }: PlacementRequest): boolean {
    const milliseconds = work.prefillMilliseconds + work.generationMilliseconds
    this.#meanWorkMilliseconds += meanWorkSmoothing * (milliseconds - this.#meanWorkMilliseconds)
    return milliseconds > this.#meanWorkMilliseconds
  }

  /** If every endpoint is excluded for its losses, an attempt serves callers better than a refusal. */
  #availableAmong (candidates: readonly RoutedEndpoint[], now: number): readonly RoutedEndpoint[] {
    const available = candidates.filter(endpoint => this.#loads.mayTry(endpoint, now))
    if (available.length > 0) return available
    return candidates.filter(endpoint => !this.#loads.isFull(endpoint, now))
  }

  #costOf (request: PlacementRequest, endpoint: RoutedEndpoint, owners: ReadonlySet<string>): number {
    const distanceMilliseconds = (request.isStream ? streamDistanceMilliseconds : plainDistanceMilliseconds)[proximityOf(this.#localPlace, endpoint.place)]
    const cachedShare = owners.has(instanceKey(endpoint)) ? sharedPromptShare(request) : 0
    const ownWorkMilliseconds = request.work.prefillMilliseconds * (1 - cachedShare) + request.work.generationMilliseconds
    const queuedWorkMilliseconds = this.#loads.workMillisecondsAt(endpoint) * queuedWorkShare
    return distanceMilliseconds + (queuedWorkMilliseconds + ownWorkMilliseconds) * this.#loads.costFactorOf(endpoint)
  }

  /** The owner of the prompt's longest shared part in each data centre. */
  #promptOwnersAmong (request: PlacementRequest, candidates: readonly RoutedEndpoint[]): ReadonlySet<string> {
    const shared = longestSharedPart(request.promptParts)
    if (shared === undefined) return new Set()
    const key = new AffinityKey(`${shared.id}/${request.model ?? ''}`)
    const owners = new Map<string, { readonly instance: string, readonly claim: number }>()
    for (const endpoint of candidates) {
      const claim = key.rendezvousScore(endpoint.identity, 1)
      const known = owners.get(endpoint.place.dataCentre)
      if (known !== undefined && known.claim >= claim) continue
      owners.set(endpoint.place.dataCentre, { instance: instanceKey(endpoint), claim })
    }
    return new Set([...owners.values()].map(({ instance }) => instance))
  }

  #sample (candidates: readonly RoutedEndpoint[]): readonly RoutedEndpoint[] {
    if (candidates.length <= maximumComparedCandidates) return candidates
    const near = candidates.filter(endpoint => endpoint.place.dataCentre === this.#localPlace.dataCentre)
    const far = candidates.filter(endpoint => endpoint.place.dataCentre !== this.#localPlace.dataCentre)
    const sampled: RoutedEndpoint[] = []
    while (sampled.length < maximumComparedCandidates - near.length && far.length > 0) {
      sampled.push(...far.splice(this.#randomness.integerBelow(far.length), 1))
    }
    return [...near, ...sampled]
  }
}

/** The last part is specific to the request or its session, so it is never shared. */
function longestSharedPart (parts: readonly PromptPart[]): PromptPart | undefined {
  return parts.at(-2)
}

function sharedPromptShare ({ promptParts, promptTokens }: PlacementRequest): number {
  if (promptTokens <= 0) return 0
  const shared = promptParts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0)
  return Math.min(1, shared / promptTokens)
}

function runsModel (endpoint: RoutedEndpoint, model: string | undefined): boolean {
  return model === undefined || endpoint.models.length === 0 || endpoint.models.includes(model)
}
