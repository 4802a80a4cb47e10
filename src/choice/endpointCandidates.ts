/**
 * Candidate endpoints of one request, each with its estimates. The views are read once, so that all
 * compared values belong to the same point in time.
 */
import { EndpointKind, Proximity, proximityOf, type Place, type VersionName } from '../contract/index.ts'
import type { EndpointRequest, EndpointView } from './contract.ts'
import { type OutlierState, slowStartWeights } from './outlierEjection.ts'
import { discountByAge, relativeCapacity, type EndpointLoad, estimateLoad, meanLoad, estimatePrefillMilliseconds, estimateQueueMilliseconds, reportTime } from './endpointLoadEstimate.ts'
import type { InFlightAttempts } from './endpointInFlight.ts'
import type { EndpointTuning } from './endpointTuning.ts'

/** One daemon's local state of an endpoint. */
export interface EndpointState {
  readonly inFlight: InFlightAttempts
  readonly outlierState: OutlierState
  /** Ratio of observed to expected times to the first token, smoothed. */
  latencyFactor: number
}

/** An endpoint that can serve a request, with its estimates. */
export interface EndpointCandidate {
  readonly view: EndpointView
  readonly state: EndpointState
  readonly nearness: Proximity
  readonly load: EndpointLoad
  /** 0 while it is ejected, rising to 1 during slow start. */
  readonly slowStartWeight: number
  readonly capacity: number
  /** Expected milliseconds until the current queue has been served. */
  readonly queueMilliseconds: number
  /** Expected milliseconds until the request is started. */
  readonly waitMilliseconds: number
  /** Expected milliseconds until the first token without a cached prefix. */
  readonly expectedFirstTokenMilliseconds: number
}

/** Whether an endpoint may get the request, whether or not the version is loaded yet. */
export function canServe (view: EndpointView, request: EndpointRequest): boolean {
  if (!view.healthy || view.leaving || view.report?.leaving === true) return false
  if (view.endpoint.kind !== EndpointKind.Engine) return false
  if (request.excludedEndpoints.has(view.endpoint.name)) return false
  return view.endpoint.versions.includes(request.version) || hasVersionLoaded(view, request)
}

/** Whether an endpoint reports the version as loaded; without a report, its settings are assumed to apply. */
export function hasVersionLoaded (view: EndpointView, request: EndpointRequest): boolean {
  return view.report === undefined || view.report.versions.includes(request.version)
}

/** Whether an endpoint of the local region has a version loaded and accepts work. */
export function servesInRegion (view: EndpointView, version: VersionName, here: Place): boolean {
  if (!view.healthy || view.leaving || view.report === undefined || view.report.leaving) return false
  return view.endpoint.place.region === here.region && view.report.versions.includes(version)
}

export interface CandidateContext {
  readonly here: Place
  readonly tuning: EndpointTuning
  readonly meanCompletionTokens: number
  /** Ratio of the wait of a request with this priority to the time for the whole queue. */
  readonly queueFactor: number
  readonly now: number
  stateOf (view: EndpointView): EndpointState
}

/**
 * Builds the candidates of a request: the endpoints that have its version loaded or, if there are
 * none, those that are configured to load it.
 *
 * @example
 * const candidates = buildCandidates(request, views, context)
 */
export function buildCandidates (request: EndpointRequest, views: readonly EndpointView[], context: CandidateContext): EndpointCandidate[] {
  const eligible = views.filter(view => canServe(view, request))
  const loaded = eligible.filter(view => hasVersionLoaded(view, request))
  const chosen = loaded.length > 0 ? loaded : eligible
  const loadMilliseconds = loaded.length > 0 ? 0 : context.tuning.coldLoadMilliseconds
  const states = chosen.map(view => context.stateOf(view))
  const weights = slowStartWeights(states.map(state => state.outlierState), context.now)
  const loads = chosen.map((view, index) => estimateLoad(view, states[index]!.inFlight.openedSince(reportTime(view)), context.tuning))
  const averageLoad = meanLoad(loads)
  return chosen.map((view, index) => {
    const ageMilliseconds = view.report === undefined ? 0 : context.now - reportTime(view)
    const load = discountByAge(loads[index]!, averageLoad, ageMilliseconds, context.tuning)
    const endpointState = states[index]!
    const nearness = proximityOf(context.here, view.endpoint.place)
    const queueDelay = estimateQueueMilliseconds(load, context.meanCompletionTokens)
    const startDelay = loadMilliseconds + queueDelay * context.queueFactor
    const serviceMilliseconds = estimatePrefillMilliseconds(load, request.promptTokens, 0) + load.betweenTokensMilliseconds
    return {
      view,
      state: endpointState,
      nearness,
      load,
      slowStartWeight: weights[index]!,
      capacity: relativeCapacity(load),
      queueMilliseconds: queueDelay,
      waitMilliseconds: startDelay,
      expectedFirstTokenMilliseconds: (startDelay + serviceMilliseconds) * endpointState.latencyFactor + roundTripMilliseconds(nearness, context.tuning)
    }
  })
}

function roundTripMilliseconds (nearness: Proximity, tuning: EndpointTuning): number {
  if (nearness === Proximity.SameDataCentre) return 0
  if (nearness === Proximity.SameRegion) return tuning.regionRoundTripMilliseconds
  return tuning.otherRegionRoundTripMilliseconds
}
