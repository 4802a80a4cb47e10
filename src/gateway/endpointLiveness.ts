/**
 * Tells an endpoint that is busy from one that is gone, while runs at it are silent. A gateway of a large
 * fleet often has a single run at an endpoint, so that nothing else shows that the endpoint is alive; it then
 * opens a connection, which a live endpoint accepts however busy it is.
 */
import { type Clock, maximumInputReadMilliseconds, withDeadline } from '../contract/index.ts'
import { ConnectionOutcome, type ConnectionProbe } from '../httpClient/index.ts'
import type { EndpointLoads, EndpointRegistry } from '../placement/index.ts'
import { type RoutedEndpoint, instanceKey } from '../routing/index.ts'

export interface EndpointLivenessOptions {
  readonly probe: ConnectionProbe
  /** Longest time that a probe takes, in milliseconds. */
  readonly checkMilliseconds: number
  readonly loads: Pick<EndpointLoads, 'recordAcceptance'>
  readonly registry: Pick<EndpointRegistry, 'isServing'>
  readonly clock: Clock
}

/**
 * @example
 * liveness.check(endpoint)
 * await clock.sleep(liveness.checkMilliseconds)
 * const isAlive = tracker.unacceptedMilliseconds(clock.now()) <= liveness.checkMilliseconds
 */
export class EndpointLiveness {
  readonly #options: EndpointLivenessOptions
  readonly #running = new Set<string>()

  constructor (options: EndpointLivenessOptions) {
    this.#options = options
  }

  /** Time by which a check is to begin before its result is needed, in milliseconds. */
  get checkMilliseconds (): number {
    return this.#options.checkMilliseconds
  }

  /** Begins a check, unless one is running; an endpoint that accepts is alive at that moment. */
  check (endpoint: RoutedEndpoint): void {
    const instance = instanceKey(endpoint)
    if (this.#running.has(instance)) return
    this.#running.add(instance)
    this.#probe(endpoint).finally(() => this.#running.delete(instance))
  }

  /**
   * Whether an endpoint has ended without having said so: nothing listens at its address any more. One that
   * leaves as planned may stop listening while it still answers.
   *
   * @param deadline milliseconds of the process's clock; an endpoint that has not shown its end by then counts as alive. A
   *   response that is read after its deadline leaves some time all the same
   * @example
   * if (await liveness.hasEnded(endpoint, deadline)) discard(response)
   */
  async hasEnded (endpoint: RoutedEndpoint, deadline: number): Promise<boolean> {
    const { clock, probe, registry } = this.#options
    if (!registry.isServing(endpoint, clock.now())) return false
    const latestAt = Math.max(deadline, clock.now() + maximumInputReadMilliseconds)
    const outcome = await withDeadline(clock, latestAt, probe(endpoint.address))
    return outcome === ConnectionOutcome.Refused && registry.isServing(endpoint, clock.now())
  }

  async #probe (endpoint: RoutedEndpoint): Promise<void> {
    const { clock, loads, probe } = this.#options
    const outcome = await probe(endpoint.address)
    if (outcome === ConnectionOutcome.Accepted) loads.recordAcceptance(endpoint, clock.now())
  }
}
