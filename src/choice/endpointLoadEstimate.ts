/**
 * How long a request would wait at an endpoint, from a report that is late. Three corrections make
 * it usable: what this daemon sent since the report is added; the report's queue is drawn towards
 * the mean of all candidates as it ages, because an old extreme is mostly gone; and each endpoint's
 * estimates are corrected by how wrong they were before.
 */
import type { EndpointView } from './contract.ts'
import type { UnreportedWork } from './endpointInFlight.ts'
import type { EndpointTuning } from './endpointTuning.ts'

/** A report with its age taken into account. */
export interface EndpointLoad {
  /** Streams it runs or has waiting, over the streams it can run. */
  readonly utilisation: number
  /** Prompt tokens that would be prefilled before a new prompt. */
  readonly waitingPromptTokens: number
  /** Streams that wait for a place. */
  readonly waitingStreams: number
  readonly streamLimit: number
  readonly prefillTokensPerSecond: number
  readonly betweenTokensMilliseconds: number
}

/** What the mean candidate looks like. */
export interface MeanLoad {
  readonly utilisation: number
  readonly waitingPromptTokens: number
}

/** Older reports than this say nothing of when they were made by another machine's clock. */
const maximumReportLagMilliseconds = 5_000

/** When a report was made by this daemon's clock, as far as can be told. */
export function reportTime (view: EndpointView): number {
  if (view.report === undefined) return Number.NEGATIVE_INFINITY
  const lag = view.reportedAt - view.report.at
  if (lag < 0 || lag > maximumReportLagMilliseconds) return view.reportedAt
  return view.report.at
}

/**
 * Reads a report together with this daemon's own work since.
 *
 * @example
 * const load = estimateLoad(view, inFlight.since(reportTime(view)), tuning)
 */
export function estimateLoad (view: EndpointView, unreported: UnreportedWork, tuning: EndpointTuning): EndpointLoad {
  const report = view.report
  const streamLimit = Math.max(1, report?.streamLimit ?? tuning.assumedStreamLimit)
  const streams = (report === undefined ? 0 : report.running + report.queued) + unreported.streams
  return {
    utilisation: streams / streamLimit,
    waitingPromptTokens: (report?.queuedPromptTokens ?? 0) + unreported.promptTokens,
    waitingStreams: Math.max(0, streams - streamLimit),
    streamLimit,
    prefillTokensPerSecond: Math.max(1, report?.prefillTokensPerSecond ?? tuning.assumedPrefillTokensPerSecond),
    betweenTokensMilliseconds: report?.betweenTokensMilliseconds ?? tuning.assumedBetweenTokensMilliseconds
  }
}

/** The mean over candidates. */
export function meanLoad (loads: readonly EndpointLoad[]): MeanLoad {
  let fullness = 0
  let waitingPromptTokens = 0
  for (const load of loads) {
    fullness += load.utilisation
    waitingPromptTokens += load.waitingPromptTokens
  }
  const count = Math.max(1, loads.length)
  return { utilisation: fullness / count, waitingPromptTokens: waitingPromptTokens / count }
}

/** Draws an old report towards the mean. */
export function discountByAge (load: EndpointLoad, mean: MeanLoad, ageMilliseconds: number, tuning: EndpointTuning): EndpointLoad {
  const reportWeight = 0.5 ** (Math.max(0, ageMilliseconds) / tuning.reportHalfLifeMilliseconds)
  const fullness = mean.utilisation + reportWeight * (load.utilisation - mean.utilisation)
  return {
    ...load,
    utilisation: fullness,
    waitingPromptTokens: mean.waitingPromptTokens + reportWeight * (load.waitingPromptTokens - mean.waitingPromptTokens),
    waitingStreams: Math.max(0, (fullness - 1) * load.streamLimit)
  }
}

/** Milliseconds until everything is served that waits now, whatever its priority. */
export function estimateQueueMilliseconds (load: EndpointLoad, meanCompletionTokens: number): number {
  const prefill = load.waitingPromptTokens / load.prefillTokensPerSecond * 1_000
  const serviceMilliseconds = meanCompletionTokens * load.betweenTokensMilliseconds
  const slotWait = load.utilisation < 1 ? 0 : (load.waitingStreams + 1) / load.streamLimit * serviceMilliseconds
  return prefill + slotWait
}

/** Milliseconds to prefill a prompt of which some tokens are cached. */
export function estimatePrefillMilliseconds (load: EndpointLoad, promptTokens: number, cachedTokens: number): number {
  return Math.max(1, promptTokens - cachedTokens) / load.prefillTokensPerSecond * 1_000
}

/** Capacity relative to others; it changes with hardware, not with load. */
export function relativeCapacity (load: EndpointLoad): number {
  return load.streamLimit * Math.sqrt(load.prefillTokensPerSecond)
}

/** A wait of this part of the time that requests have left counts as much as all places taken. */
const saturatingWaitShare = 0.25

/** What is usual of the requests of a version. */
export interface TypicalRequest {
  readonly completionTokens: number
  /** Milliseconds left until the answer is due. */
  readonly remainingMilliseconds: number
}

/** How pressed a pool is: the share of its places that is taken, and on top the wait for one. */
export function poolPressure (loads: readonly EndpointLoad[], typical: TypicalRequest): number {
  let occupiedSlots = 0
  let totalSlots = 0
  let wait = 0
  for (const load of loads) {
    occupiedSlots += Math.min(1, load.utilisation) * load.streamLimit
    totalSlots += load.streamLimit
    wait += estimateQueueMilliseconds(load, typical.completionTokens) * load.streamLimit
  }
  if (totalSlots === 0) return 0
  return (occupiedSlots + wait / (saturatingWaitShare * typical.remainingMilliseconds)) / totalSlots
}
