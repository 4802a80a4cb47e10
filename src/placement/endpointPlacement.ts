/**
 * Where a request goes. Each candidate's cost is the time that the request would take there: this
 * daemon's own work in front of it, the reading of what is not cached, the way there and back, and
 * how often the endpoint has failed. A prompt's shared part belongs to one endpoint of each data
 * centre by rendezvous hashing, on which all daemons agree without talking; since the cost of work
 * under way counts as well, a popular part spreads to others when its owner is busy.
 *
 * It answers the loads of a hot key (the owner fills up), of a burst (work spreads by cost) and of
 * a data centre that lost its endpoints (the other region is dear, not forbidden).
 */
import { AffinityKey } from '../choice/index.ts'
import { Nearness, type Place, type Randomness, nearnessOf } from '../contract/index.ts'
import { instanceKey, type PromptPart, type RoutedEndpoint } from '../routing/index.ts'
import type { EndpointLoads } from './endpointLoads.ts'
import type { RequestWork } from './requestWork.ts'

/** What the way to an endpoint counts, in milliseconds of work. */
const streamDistanceMilliseconds = { [Nearness.SameDataCentre]: 0, [Nearness.SameRegion]: 15, [Nearness.OtherRegion]: 400 } as const
const plainDistanceMilliseconds = { [Nearness.SameDataCentre]: 0, [Nearness.SameRegion]: 8, [Nearness.OtherRegion]: 90 } as const
/** Of this daemon's work at an endpoint, what a new request waits for: engines run many at once. */
const queuedWorkShare = 0.5
/** Beyond so many candidates only a sample is compared. */
const maximumComparedCandidates = 24
/** Costs within this share of the least are as good as it: a draw among them keeps daemons apart. */
const costTolerance = 0.05

/** What a choice of endpoint reads of a request. */
export interface PlacementRequest {
  readonly isStream: boolean
  readonly work: RequestWork
  readonly promptTokens: number
  readonly promptParts: readonly PromptPart[]
  readonly model: string | undefined
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

  constructor (localPlace: Place, loads: EndpointLoads, randomness: Randomness) {
    this.#localPlace = localPlace
    this.#loads = loads
    this.#randomness = randomness
  }

  /**
   * The endpoint that is expected to answer soonest.
   *
   * @returns undefined where there is no candidate that is worth a try
   */
  choose (request: PlacementRequest, candidates: readonly RoutedEndpoint[], now: number): RoutedEndpoint | undefined {
    const compared = this.#sample(this.#availableAmong(candidates.filter(endpoint => runsModel(endpoint, request.model)), now))
    const owners = this.#promptOwnersAmong(request, compared)
    const priced = compared.map(endpoint => ({ endpoint, cost: this.#costOf(request, endpoint, owners) }))
    const lowestCost = Math.min(...priced.map(({ cost }) => cost))
    const best = priced.filter(({ cost }) => cost <= lowestCost * (1 + costTolerance))
    return best[this.#randomness.below(best.length)]?.endpoint
  }

  /** Where every endpoint is left out for its losses, a try serves callers better than a refusal. */
  #availableAmong (candidates: readonly RoutedEndpoint[], now: number): readonly RoutedEndpoint[] {
    const available = candidates.filter(endpoint => this.#loads.mayTry(endpoint, now))
    if (available.length > 0) return available
    return candidates.filter(endpoint => !this.#loads.isFull(endpoint, now))
  }

  #costOf (request: PlacementRequest, endpoint: RoutedEndpoint, owners: ReadonlySet<string>): number {
    const distanceMilliseconds = (request.isStream ? streamDistanceMilliseconds : plainDistanceMilliseconds)[nearnessOf(this.#localPlace, endpoint.place)]
    const cachedShare = owners.has(instanceKey(endpoint)) ? sharedPromptShare(request) : 0
    const ownWorkMilliseconds = request.work.prefillMilliseconds * (1 - cachedShare) + request.work.generationMilliseconds
    const queuedWorkMilliseconds = this.#loads.workMillisecondsAt(endpoint) * queuedWorkShare
    return distanceMilliseconds + (queuedWorkMilliseconds + ownWorkMilliseconds) * this.#loads.costFactorOf(endpoint)
  }

  /** Of each data centre, the endpoint that the prompt's longest shared part belongs to. */
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
      sampled.push(...far.splice(this.#randomness.below(far.length), 1))
    }
    return [...near, ...sampled]
  }
}

/** The last part belongs to the request or its session alone. */
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
