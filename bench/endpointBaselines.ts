/** The endpoint policies that the project's own is measured against. They stay in the own region where they can. */
import { Err, Proximity, proximityOf, Ok, type Place, type Randomness, Refusal, RefusalCode, type Result, RunState } from '../src/contract/index.ts'
import type { EndpointChoice, EndpointPolicy, EndpointRequest, EndpointView, AttemptHandle } from '../src/choice/index.ts'

abstract class BaselineEndpointPolicy implements EndpointPolicy {
  readonly #here: Place

  constructor (here: Place) {
    this.#here = here
  }

  choose (request: EndpointRequest, views: readonly EndpointView[]): Result<EndpointChoice, Refusal> {
    const able = views.filter(({ endpoint, healthy, leaving }) =>
      healthy && !leaving && endpoint.versions.includes(request.version) && !request.excludedEndpoints.has(endpoint.name))
    const near = able.filter(view => proximityOf(this.#here, view.endpoint.place) !== Proximity.OtherRegion)
    const usable = near.length > 0 ? near : able
    if (usable.length === 0) return Err(new Refusal(RefusalCode.NoEndpoint, RunState.NotRun, `no endpoint has ${request.version}`, 1))
    return Ok({ endpoint: this.pick(request, usable).endpoint, expectedFirstTokenMilliseconds: 0 })
  }

  /** The baselines admit everything, so they know no pressure. */
  pressure (): number {
    return 0
  }

  open (): AttemptHandle {
    return { recordFirstToken: () => {}, close: () => {} }
  }

  /** @param usable not empty */
  protected abstract pick (request: EndpointRequest, usable: readonly EndpointView[]): EndpointView
}

/** Each endpoint of a version in turn. */
export class RoundRobinPolicy extends BaselineEndpointPolicy {
  readonly #turns = new Map<string, number>()
  readonly #randomness: Randomness

  constructor (here: Place, randomness: Randomness) {
    super(here)
    this.#randomness = randomness
  }

  protected pick ({ version }: EndpointRequest, usable: readonly EndpointView[]): EndpointView {
    const turn = this.#turns.get(version) ?? this.#randomness.integerBelow(usable.length)
    this.#turns.set(version, turn + 1)
    return usable[turn % usable.length]!
  }
}

/** The endpoint with the smallest share of its places taken, as the latest report says; ties at random. */
export class LeastLoadedPolicy extends BaselineEndpointPolicy {
  readonly #randomness: Randomness

  constructor (here: Place, randomness: Randomness) {
    super(here)
    this.#randomness = randomness
  }

  protected pick (_request: EndpointRequest, usable: readonly EndpointView[]): EndpointView {
    const loads = usable.map(({ report }) => report === undefined ? 0 : (report.running + report.queued) / report.streamLimit)
    const least = Math.min(...loads)
    const ties = usable.filter((_, index) => loads[index] === least)
    return ties[this.#randomness.integerBelow(ties.length)]!
  }
}
