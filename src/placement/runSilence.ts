/**
 * Decides when a silent run is abandoned for another. A run is silent because its endpoint is busy, its
 * connection is dead, or its endpoint is gone. Abandoning a run that is merely queued discards its
 * prefill and adds to the load it is waiting behind. A run is therefore abandoned early only if nothing
 * at all was received from its endpoint; if the endpoint's other runs make progress, the run keeps
 * waiting until the gap is so long that its own connection must be at fault.
 */

/** Before the first event: share of the latency target for which the endpoint may be silent. */
const startSilenceTargetShare = 0.75
/** Lower bound of that silence, so that an endpoint in the prefill of one long prompt is not considered gone. */
const minimumStartSilenceMilliseconds = 1_500
/** A run without a first event is abandoned after this many latency targets, even if its endpoint is sending. */
const maximumStartTargets = 2.5
/** After the first event: share of the maximum event gap for which the endpoint may be silent. */
const eventGapSilenceShare = 0.7
/** A started run is abandoned after this many maximum event gaps, even if its endpoint is sending. */
const maximumEventGaps = 1.5

/** A silent run. */
export interface RunSilence {
  /** Time since its last event, or since it was sent. */
  readonly waitedMilliseconds: number
  /** Time since anything was received from its endpoint, by any run. */
  readonly endpointSilentMilliseconds: number
  readonly hasStarted: boolean
  readonly latencyTargetMilliseconds: number
  readonly maximumEventGapMilliseconds: number
}

/**
 * Whether a run should be abandoned.
 *
 * @example
 * if (shouldAbandonRun({ waitedMilliseconds: 900, endpointSilentMilliseconds: 900, hasStarted: true, latencyTargetMilliseconds: 2_000, maximumEventGapMilliseconds: 1_200 })) resume()
 */
export function shouldAbandonRun (silence: RunSilence): boolean {
  const { waitedMilliseconds, hasStarted, latencyTargetMilliseconds, maximumEventGapMilliseconds } = silence
  const silentMilliseconds = Math.min(waitedMilliseconds, silence.endpointSilentMilliseconds)
  if (hasStarted) return silentMilliseconds >= maximumEventGapMilliseconds * eventGapSilenceShare || waitedMilliseconds >= maximumEventGapMilliseconds * maximumEventGaps
  const allowedSilenceMilliseconds = Math.max(minimumStartSilenceMilliseconds, latencyTargetMilliseconds * startSilenceTargetShare)
  return silentMilliseconds >= allowedSilenceMilliseconds || waitedMilliseconds >= latencyTargetMilliseconds * maximumStartTargets
}
