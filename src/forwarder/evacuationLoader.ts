/**
 * Puts the operators' evacuation orders in force. After an evacuation the endpoints of its data centre count as
 * warming up, because their registrations may arrive later than the end of the order.
 */
import type { BootFile } from '../../platform/index.ts'
import type { Clock } from '../contract/index.ts'
import type { GatewayMetrics, RoutingView } from '../gateway/index.ts'
import type { Log } from '../observe/index.ts'
import { type EndpointEligibility, type EndpointRegistry, type Evacuations, Ineligibility } from '../placement/index.ts'
import type { WarmUps } from '../rateLimit/index.ts'
import { instanceKey } from '../routing/index.ts'

export interface EvacuationLoaderDependencies {
  readonly boot: { readonly current: BootFile }
  readonly clock: Clock
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly routing: RoutingView
  readonly registry: EndpointRegistry
  readonly evacuations: Evacuations
  readonly eligibility: EndpointEligibility
  readonly warmUps: WarmUps
}

/**
 * @example
 * evacuationLoader.load(new Set(['bw-a']))
 */
export class EvacuationLoader {
  readonly #dependencies: EvacuationLoaderDependencies

  constructor (dependencies: EvacuationLoaderDependencies) {
    this.#dependencies = dependencies
  }

  /** Replaces the evacuations in force. */
  load (dataCentres: ReadonlySet<string>): void {
    const { evacuations, log, metrics } = this.#dependencies
    const { begun, ended } = evacuations.update(dataCentres)
    if (begun.length === 0 && ended.length === 0) return
    metrics.evacuatedDataCentres.set(dataCentres.size)
    for (const dataCentre of begun) log.info('evacuation_begun', { dataCentre, isKnown: this.#dependencies.boot.current.regionsByDataCentre.has(dataCentre) })
    for (const dataCentre of ended) this.#end(dataCentre)
    if (begun.length > 0) this.#warnOfEmptyServices()
  }

  #end (dataCentre: string): void {
    const { clock, log, registry, routing, warmUps } = this.#dependencies
    const endpoints = registry.endpointsIn(dataCentre)
    for (const endpoint of endpoints) {
      const warmUp = routing.snapshot?.settings.services.get(endpoint.service)?.warmUp
      if (warmUp !== undefined) warmUps.assume(instanceKey(endpoint), warmUp.durationMilliseconds, clock.now())
    }
    log.info('evacuation_ended', { dataCentre, endpoints: endpoints.length })
  }

  #warnOfEmptyServices (): void {
    const { clock, eligibility, log, routing } = this.#dependencies
    for (const service of routing.snapshot?.settings.services.keys() ?? []) {
      const ineligibility = eligibility.ineligibilityOf({ service, allowedRegions: undefined }, clock.now())
      if (ineligibility === Ineligibility.Evacuated) log.warn('evacuation_leaves_none', { service })
    }
  }
}
