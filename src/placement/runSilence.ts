/**
 * When a run that says nothing is given up for another. A run waits for three reasons: its endpoint
 * is busy, its connection has gone silent, or its endpoint is gone. Giving up a run that only waits
 * throws its prompt's reading away and adds to the load that it waits for, so it is done soon only
 * where nothing at all was heard from the endpoint since; where others of its runs go on, the run
 * is left to wait, but for a pause so long that its own connection must be the reason.
 */

/** Nothing from the endpoint for this share of the objective, while a run of it waits to begin. */
const startSilenceTargetShare = 0.75
/** At least so long, so that an endpoint that reads one long prompt is not taken for gone. */
const minimumStartSilenceMilliseconds = 1_500
/** A run that has not begun is given up after so many objectives, even if its endpoint is heard. */
const maximumStartTargets = 2.5
/** Nothing from the endpoint for this share of the allowed pause, while a run of it is under way. */
const eventGapSilenceShare = 0.7
/** A run under way is given up after so many allowed pauses, even if its endpoint is heard. */
const maximumEventGaps = 1.5

/** A run that says nothing. */
export interface RunSilence {
  /** Since its last event, or since it was sent. */
  readonly waitedMilliseconds: number
  /** Since anything was heard from its endpoint, by any run. */
  readonly endpointSilentMilliseconds: number
  readonly hasStarted: boolean
  readonly latencyTargetMilliseconds: number
  readonly maximumEventGapMilliseconds: number
}

/**
 * Whether a run is to be given up.
 *
 * @example
 * if (shouldAbandonRun({ waitedMilliseconds: 900, endpointSilentMilliseconds: 900, hasStarted: true, latencyTargetMilliseconds: 2_000, maximumEventGapMilliseconds: 1_200 })) resume()
 */
export function shouldAbandonRun (silence: RunSilence): boolean {
  const { waitedMilliseconds, hasStarted: hasBegun, latencyTargetMilliseconds: objectiveMilliseconds, maximumEventGapMilliseconds: pauseMilliseconds } = silence
  const silentMilliseconds = Math.min(waitedMilliseconds, silence.endpointSilentMilliseconds)
  if (hasBegun) return silentMilliseconds >= pauseMilliseconds * eventGapSilenceShare || waitedMilliseconds >= pauseMilliseconds * maximumEventGaps
  const allowedSilenceMilliseconds = Math.max(minimumStartSilenceMilliseconds, objectiveMilliseconds * startSilenceTargetShare)
  return silentMilliseconds >= allowedSilenceMilliseconds || waitedMilliseconds >= objectiveMilliseconds * maximumStartTargets
}
