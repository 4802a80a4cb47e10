/** Baseline endpoint policies to compare the project's own with. They prefer endpoints in the router's region. */
import { Err, Proximity, proximityOf, Ok, type Place, type Randomness, Refusal, RefusalCode, type Result, RunState } from '../src/contract/index.ts'
import type { EndpointChoice, EndpointPolicy, EndpointRequest, EndpointView, AttemptHandle } from '../src/choice/index.ts'

abstract class BaselineEndpointPolicy implements EndpointPolicy {
  readonly #here: Place

  constructor (here: Place) {
    this.#here = here
  }

  choose (request: EndpointRequest, views: readonly EndpointView[]): Result<EndpointChoice, Refusal> {
    const eligible = views.filter(({ endpoint, healthy, leaving }) =>
      healthy && !leaving && endpoint.versions.includes(request.version) && !request.excludedEndpoints.has(endpoint.name))
    const inRegion = eligible.filter(view => proximityOf(this.#here, view.endpoint.place) !== Proximity.OtherRegion)
    const candidates = inRegion.length > 0 ? inRegion : eligible
    if (candidates.length === 0) return Err(new Refusal(RefusalCode.NoEndpoint, RunState.NotRun, `no endpoint has ${request.version}`, 1))
    return Ok({ endpoint: this.pick(request, candidates).endpoint, expectedFirstTokenMilliseconds: 0 })
  }

  /** Always 0, because the baselines admit every request. */
  pressure (): number {
    return 0
  }

  open (): AttemptHandle {
    return { recordFirstToken: () => {}, close: () => {} }
  }

  /** @param candidates not empty */
  protected abstract pick (request: EndpointRequest, candidates: readonly EndpointView[]): EndpointView
}

/** Rotates through the endpoints of a version, from a random start. */
export class RoundRobinPolicy extends BaselineEndpointPolicy {
  readonly #nextTurns = new Map<string, number>()
  readonly #randomness: Randomness

  constructor (here: Place, randomness: Randomness) {
    super(here)
    this.#randomness = randomness
  }

  protected pick ({ version }: EndpointRequest, candidates: readonly EndpointView[]): EndpointView {
    const turn = this.#nextTurns.get(version) ?? this.#randomness.integerBelow(candidates.length)
    this.#nextTurns.set(version, turn + 1)
    return candidates[turn % candidates.length]!
  }
}

/** Chooses the endpoint with the lowest load relative to its stream limit in the latest report; ties are broken at random. */
export class LeastLoadedPolicy extends BaselineEndpointPolicy {
  readonly #randomness: Randomness

  constructor (here: Place, randomness: Randomness) {
    super(here)
    this.#randomness = randomness
  }

  protected pick (_request: EndpointRequest, candidates: readonly EndpointView[]): EndpointView {
    const loads = candidates.map(({ report }) => report === undefined ? 0 : (report.running + report.queued) / report.streamLimit)
    const minimumLoad = Math.min(...loads)
    const ties = candidates.filter((_, index) => loads[index] === minimumLoad)
    return ties[this.#randomness.integerBelow(ties.length)]!
  }
}
