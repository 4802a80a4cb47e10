/** Chooses the endpoint of a call to a plain service: at random among the nearest that have a place for it. */
import { Err, Ok, type Place, Priority, Proximity, type Randomness, Refusal, RefusalCode, type Result, RunState, proximityOf } from '../contract/index.ts'
import type { EndpointView } from '../choice/index.ts'
import { type EndpointDirectory, acceptsRequests } from './endpointDirectory.ts'
import { type EndpointPlaces, placeRetrySeconds } from './endpointPlaces.ts'

const retryAfterSeconds = 1

export interface ServiceEndpointsOptions {
  readonly here: Place
  readonly randomness: Randomness
  readonly directory: EndpointDirectory
  readonly places: EndpointPlaces
}

/** What the choice needs to know of a call. */
export interface PlacedCall {
  readonly service: string
  readonly organisation: { readonly name: string }
  /** Milliseconds since the epoch. */
  readonly deadline: number
}

export class ServiceEndpoints {
  readonly #options: ServiceEndpointsOptions

  constructor (options: ServiceEndpointsOptions) {
    this.#options = options
  }

  /**
   * Chooses an endpoint; while the rate limits of all are used up, waits for a place.
   *
   * @param excluded names of endpoints that are not to be chosen
   * @param arrivedAt when the call arrived, which decides its turn
   * @example
   * const endpoint = await endpoints.choose(request, excluded, clock.now(), signal)
   */
  async choose (call: PlacedCall, excluded: ReadonlySet<string>, arrivedAt: number, signal: AbortSignal): Promise<Result<EndpointView, Refusal>> {
    const { places } = this.#options
    const { service, organisation, deadline } = call
    for (;;) {
      const usable = this.#usable(service, excluded)
      const usedUp = places.withoutPlace(service, usable)
      if (usable.length === 0 || usedUp.length < usable.length) return this.#chooseNear(service, usable.filter(({ endpoint }) => !usedUp.includes(endpoint.name)))
      const turn = await places.wait(service, () => this.#usable(service, excluded), { organisation: organisation.name, priority: Priority.Normal, arrivedAt, deadline, signal })
      if (turn.err) return Err(new Refusal(RefusalCode.Overloaded, RunState.NotRun, `the rate limits of all endpoints of service ${service} are used up`, placeRetrySeconds(turn.val)))
    }
  }

  #usable (service: string, excluded: ReadonlySet<string>): readonly EndpointView[] {
    return this.#options.directory.services(service).filter(view => acceptsRequests(view) && !excluded.has(view.endpoint.name))
  }

  #chooseNear (service: string, usable: readonly EndpointView[]): Result<EndpointView, Refusal> {
    const { here, randomness } = this.#options
    for (const nearness of Object.values(Proximity)) {
      const near = usable.filter(view => proximityOf(here, view.endpoint.place) === nearness)
      const chosen = near[randomness.integerBelow(near.length)]
      if (chosen !== undefined) return Ok(chosen)
    }
    return Err(new Refusal(RefusalCode.NoEndpoint, RunState.NotRun, `no endpoint of service ${service} is available`, retryAfterSeconds))
  }
}
