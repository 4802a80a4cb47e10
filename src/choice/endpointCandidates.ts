/**
 * The endpoints that one request may go to, each with what is expected of it. Everything is read
 * once from the views, so that the choice compares figures of one moment.
 */
import { EndpointKind, Nearness, nearnessOf, type Place, type VersionName } from '../contract/index.ts'
import type { EndpointRequest, EndpointView } from './contract.ts'
import { type OutlierState, slowStartWeights } from './outlierEjection.ts'
import { discountByAge, relativeCapacity, type EndpointLoad, estimateLoad, meanLoad, estimatePrefillMilliseconds, estimateQueueMilliseconds, reportTime } from './endpointLoadEstimate.ts'
import type { InFlightAttempts } from './endpointInFlight.ts'
import type { EndpointTuning } from './endpointTuning.ts'

/** What a daemon remembers of an endpoint. */
export interface EndpointState {
  readonly inFlight: InFlightAttempts
  readonly outlierState: OutlierState
  /** How much longer first tokens took than was expected, as a factor. */
  latencyFactor: number
}

/** An endpoint that a request may go to. */
export interface EndpointCandidate {
  readonly view: EndpointView
  readonly state: EndpointState
  readonly nearness: Nearness
  readonly load: EndpointLoad
  /** 0 while it is ejected, growing to 1 after its return. */
  readonly slowStartWeight: number
  readonly capacity: number
  /** Milliseconds until everything is served that waits now. */
  readonly queueMilliseconds: number
  /** Expected milliseconds until the request's turn comes. */
  readonly waitMilliseconds: number
  /** Expected milliseconds until the first token with nothing cached. */
  readonly expectedFirstTokenMilliseconds: number
}

/** Whether an endpoint may get new work of a version, warm or cold. */
export function canServe (view: EndpointView, request: EndpointRequest): boolean {
  if (!view.healthy || view.leaving || view.report?.leaving === true) return false
  if (view.endpoint.kind !== EndpointKind.Engine) return false
  if (request.excludedEndpoints.has(view.endpoint.name)) return false
  return view.endpoint.versions.includes(request.version) || hasVersionLoaded(view, request)
}

/** Whether an endpoint reports the version as loaded; one that never reported is taken at its settings. */
export function hasVersionLoaded (view: EndpointView, request: EndpointRequest): boolean {
  return view.report === undefined || view.report.versions.includes(request.version)
}

/** Whether an endpoint of the own region has a version loaded and takes work. */
export function servesInRegion (view: EndpointView, version: VersionName, here: Place): boolean {
  if (!view.healthy || view.leaving || view.report === undefined || view.report.leaving) return false
  return view.endpoint.place.region === here.region && view.report.versions.includes(version)
}

/** What a candidate's figures are read by. */
export interface CandidateContext {
  readonly here: Place
  readonly tuning: EndpointTuning
  readonly meanCompletionTokens: number
  /** The part of a queue that a request of this priority waits for. */
  readonly queueFactor: number
  readonly now: number
  stateOf (view: EndpointView): EndpointState
}

/**
 * Reads the candidates of a request: those that have its version loaded or, where none has, those
 * that are to load it.
 *
 * @example
 * const candidates = buildCandidates(request, views, reading)
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
    const nearness = nearnessOf(context.here, view.endpoint.place)
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

function roundTripMilliseconds (nearness: Nearness, tuning: EndpointTuning): number {
  if (nearness === Nearness.SameDataCentre) return 0
  if (nearness === Nearness.SameRegion) return tuning.regionRoundTripMilliseconds
  return tuning.otherRegionRoundTripMilliseconds
}
