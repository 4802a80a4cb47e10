/**
 * Estimates the wait at an endpoint from a delayed load report, with three corrections: work that this
 * daemon sent since the report is added; with increasing age, the reported queue is shrunk towards the
 * mean of all candidates, because extreme values rarely last; and the estimates of each endpoint are
 * scaled by its previous estimation errors.
 */
import type { EndpointView } from './contract.ts'
import type { UnreportedWork } from './endpointInFlight.ts'
import type { EndpointTuning } from './endpointTuning.ts'

/** Estimated load of an endpoint. */
export interface EndpointLoad {
  /** Running and waiting streams divided by the stream limit. */
  readonly utilisation: number
  /** Prompt tokens to be prefilled before a new prompt. */
  readonly waitingPromptTokens: number
  /** Streams that wait for a slot. */
  readonly waitingStreams: number
  readonly streamLimit: number
  readonly prefillTokensPerSecond: number
  readonly betweenTokensMilliseconds: number
}

/** Mean load of the candidates. */
export interface MeanLoad {
  readonly utilisation: number
  readonly waitingPromptTokens: number
}

/** Beyond this lag the two clocks are assumed to differ, and the time of arrival is used instead. */
const maximumReportLagMilliseconds = 5_000

/** Time at which a report was made, or of its arrival if the clocks seem to differ. */
export function reportTime (view: EndpointView): number {
  if (view.report === undefined) return Number.NEGATIVE_INFINITY
  const lag = view.reportedAt - view.report.at
  if (lag < 0 || lag > maximumReportLagMilliseconds) return view.reportedAt
  return view.report.at
}

/**
 * Combines a report with the work that this daemon sent since.
 *
 * @example
 * const load = estimateLoad(view, inFlight.openedSince(reportTime(view)), tuning)
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

export function meanLoad (loads: readonly EndpointLoad[]): MeanLoad {
  let utilisationSum = 0
  let waitingPromptTokens = 0
  for (const load of loads) {
    utilisationSum += load.utilisation
    waitingPromptTokens += load.waitingPromptTokens
  }
  const count = Math.max(1, loads.length)
  return { utilisation: utilisationSum / count, waitingPromptTokens: waitingPromptTokens / count }
}

/** Shrinks an old report towards the mean, with the configured half-life. */
export function discountByAge (load: EndpointLoad, mean: MeanLoad, ageMilliseconds: number, tuning: EndpointTuning): EndpointLoad {
  const reportWeight = 0.5 ** (Math.max(0, ageMilliseconds) / tuning.reportHalfLifeMilliseconds)
  const adjustedUtilisation = mean.utilisation + reportWeight * (load.utilisation - mean.utilisation)
  return {
    ...load,
    utilisation: adjustedUtilisation,
    waitingPromptTokens: mean.waitingPromptTokens + reportWeight * (load.waitingPromptTokens - mean.waitingPromptTokens),
    waitingStreams: Math.max(0, (adjustedUtilisation - 1) * load.streamLimit)
  }
}

/** Milliseconds until the current queue has been served, regardless of priorities. */
export function estimateQueueMilliseconds (load: EndpointLoad, meanCompletionTokens: number): number {
  const prefill = load.waitingPromptTokens / load.prefillTokensPerSecond * 1_000
  const serviceMilliseconds = meanCompletionTokens * load.betweenTokensMilliseconds
  const slotWait = load.utilisation < 1 ? 0 : (load.waitingStreams + 1) / load.streamLimit * serviceMilliseconds
  return prefill + slotWait
}

/** Milliseconds to prefill the tokens of a prompt that are not cached. */
export function estimatePrefillMilliseconds (load: EndpointLoad, promptTokens: number, cachedTokens: number): number {
  return Math.max(1, promptTokens - cachedTokens) / load.prefillTokensPerSecond * 1_000
}

/** Capacity relative to other endpoints; it depends on hardware, not on load. */
export function relativeCapacity (load: EndpointLoad): number {
  return load.streamLimit * Math.sqrt(load.prefillTokensPerSecond)
}

/** A wait of this share of the remaining time adds as much pressure as all slots taken. */
const saturatingWaitShare = 0.25

/** Typical properties of the requests of a version. */
export interface TypicalRequest {
  readonly completionTokens: number
  /** Milliseconds left until the answer is due. */
  readonly remainingMilliseconds: number
}

/** Load on a pool: the share of its slots that is taken, plus a term for the wait for a slot. */
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
