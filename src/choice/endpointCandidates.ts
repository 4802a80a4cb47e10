/**
 * The endpoints that one request may go to, each with what is expected of it. Everything is read
 * once from the views, so that the choice compares figures of one moment.
 */
import { EndpointKind, Nearness, nearnessOf, type Place, type VersionName } from '../contract/index.ts'
import type { EndpointRequest, EndpointView } from './contract.ts'
import { type EndpointStanding, standingWeights } from './ejection.ts'
import { agedLoad, capacityOf, type EndpointLoad, loadOf, meanLoad, prefillMilliseconds, queueMilliseconds, reportMoment } from './endpointEstimate.ts'
import type { InFlight } from './endpointInFlight.ts'
import type { EndpointTuning } from './endpointTuning.ts'

/** What a daemon remembers of an endpoint. */
export interface EndpointMemory {
  readonly inFlight: InFlight
  readonly standing: EndpointStanding
  /** How much longer first tokens took than was expected, as a factor. */
  slowness: number
}

/** An endpoint that a request may go to. */
export interface Candidate {
  readonly view: EndpointView
  readonly memory: EndpointMemory
  readonly nearness: Nearness
  readonly load: EndpointLoad
  /** 0 while it is ejected, growing to 1 after its return. */
  readonly standing: number
  readonly capacity: number
  /** Milliseconds until everything is served that waits now. */
  readonly queue: number
  /** Expected milliseconds until the request's turn comes. */
  readonly wait: number
  /** Expected milliseconds until the first token with nothing cached. */
  readonly expected: number
}

/** Whether an endpoint may get new work of a version, warm or cold. */
export function mayServe (view: EndpointView, request: EndpointRequest): boolean {
  if (!view.healthy || view.leaving || view.report?.leaving === true) return false
  if (view.endpoint.kind !== EndpointKind.Engine) return false
  if (request.excluded.has(view.endpoint.name)) return false
  return view.endpoint.versions.includes(request.version) || isWarm(view, request)
}

/** Whether an endpoint reports the version as loaded; one that never reported is taken at its settings. */
export function isWarm (view: EndpointView, request: EndpointRequest): boolean {
  return view.report === undefined || view.report.versions.includes(request.version)
}

/** Whether an endpoint of the own region has a version loaded and takes work. */
export function servesNear (view: EndpointView, version: VersionName, here: Place): boolean {
  if (!view.healthy || view.leaving || view.report === undefined || view.report.leaving) return false
  return view.endpoint.place.region === here.region && view.report.versions.includes(version)
}

/** What a candidate's figures are read by. */
export interface CandidateReading {
  readonly here: Place
  readonly tuning: EndpointTuning
  readonly meanCompletionTokens: number
  /** The part of a queue that a request of this priority waits for. */
  readonly queueShare: number
  readonly now: number
  memoryOf (view: EndpointView): EndpointMemory
}

/**
 * Reads the candidates of a request: those that have its version loaded or, where none has, those
 * that are to load it.
 *
 * @example
 * const candidates = readCandidates(request, views, reading)
 */
export function readCandidates (request: EndpointRequest, views: readonly EndpointView[], reading: CandidateReading): Candidate[] {
  const able = views.filter(view => mayServe(view, request))
  const warm = able.filter(view => isWarm(view, request))
  const chosen = warm.length > 0 ? warm : able
  const cold = warm.length > 0 ? 0 : reading.tuning.coldLoadMilliseconds
  const memories = chosen.map(view => reading.memoryOf(view))
  const standings = standingWeights(memories.map(memory => memory.standing), reading.now)
  const loads = chosen.map((view, index) => loadOf(view, memories[index]!.inFlight.since(reportMoment(view)), reading.tuning))
  const mean = meanLoad(loads)
  return chosen.map((view, index) => {
    const age = view.report === undefined ? 0 : reading.now - reportMoment(view)
    const load = agedLoad(loads[index]!, mean, age, reading.tuning)
    const memory = memories[index]!
    const nearness = nearnessOf(reading.here, view.endpoint.place)
    const queue = queueMilliseconds(load, reading.meanCompletionTokens)
    const wait = cold + queue * reading.queueShare
    const run = prefillMilliseconds(load, request.promptTokens, 0) + load.betweenTokensMilliseconds
    return {
      view,
      memory,
      nearness,
      load,
      standing: standings[index]!,
      capacity: capacityOf(load),
      queue,
      wait,
      expected: (wait + run) * memory.slowness + roundTrip(nearness, reading.tuning)
    }
  })
}

function roundTrip (nearness: Nearness, tuning: EndpointTuning): number {
  if (nearness === Nearness.SameDataCentre) return 0
  if (nearness === Nearness.SameRegion) return tuning.regionRoundTripMilliseconds
  return tuning.otherRegionRoundTripMilliseconds
}
