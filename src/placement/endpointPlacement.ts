/**
 * Chooses the endpoint for a request. A candidate's cost is the time that the request is expected to
 * take there: the queued work, the prefill of uncached prompt parts, the network distance,
 * and a penalty for recent failures. The shared part of a prompt is owned by one endpoint per data
 * centre, chosen by rendezvous hashing, so all daemons agree on it without communicating. Because work
 * in progress counts as well, a popular part spreads to other endpoints when its owner is busy.
 *
 * While there is fresh news of the work of the other daemons, the cost counts the work of all of them and the
 * queue for the endpoint's slots. All daemons see the same idle endpoint then, so each compares only the prompt's
 * owner in its data centre and a few others. Without news, for plain services, and while one of the
 * candidates has a rate limit, the daemon's own work decides.
 *
 * An endpoint whose rate limit is used up is no candidate, so that its prompts move to their next owner at
 * once; of its last place only requests make use that profit from this endpoint. The same holds for the limit of
 * an endpoint that warms up, but that leaves the comparison of the others as it is.
 *
 * This covers a hot key (its owner fills up), a burst (work spreads by cost) and a data centre that
 * lost its endpoints (another region is expensive but not excluded).
 */
import { AffinityKey } from '../choice/index.ts'
import { Proximity, type Place, type Randomness, proximityOf, randomSample } from '../contract/index.ts'
import type { OthersWork } from '../fleetLoad/index.ts'
import type { EndpointLimits, PlaceForecast } from '../rateLimit/index.ts'
import { instanceKey, type PromptPart, type RoutedEndpoint, ratedEndpoint } from '../routing/index.ts'
import type { EndpointLoads } from './endpointLoads.ts'
import type { RequestWork } from './requestWork.ts'

/** Cost of the network distance to an endpoint, in milliseconds of work. */
const streamDistanceMilliseconds = { [Proximity.SameDataCentre]: 0, [Proximity.SameRegion]: 15, [Proximity.OtherRegion]: 400 } as const
const plainDistanceMilliseconds = { [Proximity.SameDataCentre]: 0, [Proximity.SameRegion]: 8, [Proximity.OtherRegion]: 90 } as const
/** Share of this daemon's work at an endpoint that delays a new request; engines process many requests concurrently. */
const queuedWorkShare = 0.5
/** The same for the work of the others, half of which has ended or moved on since it was told. */
const othersWorkShare = 0.035
/** Endpoints compared with the owner when the work of all is known, from the own region and from the others. */
const drawnNearCandidates = 2
const drawnFarCandidates = 1
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

/** Of a daemon that hears nothing of the others. */
const unknownWork: OthersWork = { isFresh: () => false, workAt: () => undefined }

interface PricedEndpoint {
  readonly endpoint: RoutedEndpoint
  /** In milliseconds. */
  readonly cost: number
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
  readonly #othersWork: OthersWork
  #meanWorkMilliseconds = 0

  constructor (localPlace: Place, loads: EndpointLoads, randomness: Randomness, limits: EndpointLimits, othersWork: OthersWork = unknownWork) {
    this.#localPlace = localPlace
    this.#loads = loads
    this.#randomness = randomness
    this.#limits = limits
    this.#othersWork = othersWork
  }

  /**
   * The endpoint that is expected to answer soonest.
   *
   * @returns undefined if no candidate is eligible
   */
  choose (request: PlacementRequest, candidates: readonly RoutedEndpoint[], now: number): RoutedEndpoint | undefined {
    const able = candidates.filter(endpoint => runsModel(endpoint, request.model) && this.#limits.hasPlace(ratedEndpoint(endpoint), now))
    const available = this.#availableAmong(able, now)
    const mayTakeLastPlace = request.isResumed === true || this.#isLarge(request)
    if (this.#knowsAllWork(request, available, now)) return this.#cheapest(this.#pricedByAllWork(request, available, now))
    const compared = this.#sample(available)
    const owners = this.#promptOwnersAmong(request, compared)
    const isLimited = compared.some(endpoint => this.#limits.hasAnnouncedLimit(ratedEndpoint(endpoint), now))
    const waitOf = (endpoint: RoutedEndpoint) => isLimited ? this.#loads.waitMillisecondsAt(endpoint, now) : 0
    const priced = this.#sparingPlaces(mayTakeLastPlace, compared, now).map(endpoint => ({ endpoint, cost: this.#costOf(request, endpoint, owners, this.#loads.workMillisecondsAt(endpoint) * queuedWorkShare) + waitOf(endpoint) }))
    return this.#cheapest(priced)
  }

  #cheapest (priced: readonly PricedEndpoint[]): RoutedEndpoint | undefined {
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

  /** Whether a candidate is full now, but may have room before a deadline. */
  awaitsRoom (model: string | undefined, candidates: readonly RoutedEndpoint[], now: number, deadline: number): boolean {
    return candidates.some(endpoint => runsModel(endpoint, model) && this.#loads.isFull(endpoint, now) && now + this.#loads.overloadMilliseconds([endpoint], now) < deadline)
  }

  /**
   * A limit counts requests and not their work, so its places relieve the other endpoints most when large
   * requests use them. These go there first; smaller ones leave the last place free.
   */
  #sparingPlaces (mayTakeLastPlace: boolean, candidates: readonly RoutedEndpoint[], now: number): readonly RoutedEndpoint[] {
    if (mayTakeLastPlace) return candidates
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

  #knowsAllWork ({ isStream }: PlacementRequest, available: readonly RoutedEndpoint[], now: number): boolean {
    return isStream && this.#othersWork.isFresh(now) && !available.some(endpoint => this.#limits.hasAnnouncedLimit(ratedEndpoint(endpoint), now))
  }

  #pricedByAllWork (request: PlacementRequest, available: readonly RoutedEndpoint[], now: number): readonly PricedEndpoint[] {
    const owners = this.#promptOwnersAmong(request, available)
    return this.#drawFew(request, available, owners, now).map(endpoint => ({ endpoint, cost: this.#costOf(request, endpoint, owners, this.#delayByAllWork(endpoint, now)) }))
  }

  /**
   * The owner in this data centre and a few others: with more, all daemons would send to the endpoint that looked
   * idle a second ago. The near ones are those with the least cost by this daemon's work, which is known at once, so
   * that it spreads its own requests evenly; among equal ones they are a random draw.
   */
  #drawFew (request: PlacementRequest, available: readonly RoutedEndpoint[], owners: ReadonlySet<string>, now: number): readonly RoutedEndpoint[] {
    const owner = available.filter(endpoint => endpoint.place.dataCentre === this.#localPlace.dataCentre && owners.has(instanceKey(endpoint)) && this.#mayCompareOwner(endpoint, now))
    const near = available.filter(({ place }) => place.region === this.#localPlace.region)
    const far = available.filter(({ place }) => place.region !== this.#localPlace.region)
    const drawnNear = this.#leastOwnCost(request, near).slice(0, drawnNearCandidates)
    const drawnFar = randomSample(this.#randomness, far, near.length === 0 ? drawnNearCandidates : drawnFarCandidates)
    return [...new Set([...owner, ...drawnNear, ...drawnFar])]
  }

  /** The fuller an owner is, the fewer daemons compare it, so that the requests of a popular part do not all return to it at once. */
  #mayCompareOwner (owner: RoutedEndpoint, now: number): boolean {
    const freeShare = 1 - this.#runsAt(owner, now) / slotsOf(owner)
    return this.#randomness.fraction() < freeShare
  }

  #runsAt (endpoint: RoutedEndpoint, now: number): number {
    return this.#loads.attemptsInFlightAt(endpoint) + (this.#othersWork.workAt(instanceKey(endpoint), now)?.runs ?? 0)
  }

  /** Sorts endpoints by what this daemon itself knows of them, equal ones at random. */
  #leastOwnCost (request: PlacementRequest, endpoints: readonly RoutedEndpoint[]): readonly RoutedEndpoint[] {
    const shuffled = randomSample(this.#randomness, endpoints, endpoints.length)
    const weighed = shuffled.map(endpoint => ({ endpoint, cost: this.#workCostOf(request, endpoint, 0, this.#loads.workMillisecondsAt(endpoint) * queuedWorkShare) }))
    return weighed.sort((left, right) => left.cost - right.cost).map(({ endpoint }) => endpoint)
  }

  /** How long the work of all daemons delays a new request: by slower progress, and by the queue once all slots are taken. */
  #delayByAllWork (endpoint: RoutedEndpoint, now: number): number {
    const others = this.#othersWork.workAt(instanceKey(endpoint), now)
    const ownMilliseconds = this.#loads.workMillisecondsAt(endpoint) * queuedWorkShare
    const othersMilliseconds = (others?.workMilliseconds ?? 0) * othersWorkShare
    const slots = slotsOf(endpoint)
    const turnsToWait = Math.max(0, this.#runsAt(endpoint, now) + 1 - slots) / slots
    return ownMilliseconds + othersMilliseconds + turnsToWait * this.#loads.meanResponseMilliseconds
  }

  #costOf (request: PlacementRequest, endpoint: RoutedEndpoint, owners: ReadonlySet<string>, queueMilliseconds: number): number {
    const distanceMilliseconds = (request.isStream ? streamDistanceMilliseconds : plainDistanceMilliseconds)[proximityOf(this.#localPlace, endpoint.place)]
    const cachedShare = owners.has(instanceKey(endpoint)) ? sharedPromptShare(request) : 0
    return distanceMilliseconds + this.#workCostOf(request, endpoint, cachedShare, queueMilliseconds)
  }

  #workCostOf ({ work }: PlacementRequest, endpoint: RoutedEndpoint, cachedShare: number, queueMilliseconds: number): number {
    const requestMilliseconds = work.prefillMilliseconds * (1 - cachedShare) + work.generationMilliseconds
    return (queueMilliseconds + requestMilliseconds) * this.#loads.costFactorOf(endpoint)
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

function slotsOf ({ slots }: RoutedEndpoint): number {
  return slots ?? Number.POSITIVE_INFINITY
}

function runsModel (endpoint: RoutedEndpoint, model: string | undefined): boolean {
  return model === undefined || endpoint.models.length === 0 || endpoint.models.includes(model)
}
