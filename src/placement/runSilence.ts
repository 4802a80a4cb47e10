/**
 * Decides when a silent run is abandoned for another. A run is one attempt to answer a request at one
 * endpoint, whose response is a stream of events. It is silent because its endpoint is busy, its
 * connection is dead, or its endpoint is gone. Abandoning a run that is merely queued discards its
 * prefill, and the run that replaces it adds to the load that made it wait. A run is therefore
 * abandoned early only if nothing at all was received from its endpoint; if the endpoint's other runs
 * make progress, or it was just seen to accept a connection, the run keeps waiting until its own silence
 * is so long that its connection must be at fault. While the daemon is being stopped a started run is left to an
 * endpoint that shows that it lives, since no other run may end in time. Reading a long prompt takes its time at an idle endpoint
 * too, so that time is allowed in addition.
 */

/** Before the first event: share of the route's latency target for which the endpoint may be silent. */
const startSilenceTargetShare = 0.75
/**
 * Lower bound of the endpoint's silence before the first event, so that an endpoint in the prefill of one
 * long prompt is not considered gone. With a latency target below 600 ms, the limit of
 * `startWaitTargetRatio` is reached first.
 */
const minimumStartSilenceMilliseconds = 1_500
/** A run without a first event is abandoned after this many latency targets, even if its endpoint is sending. */
const startWaitTargetRatio = 2.5
/** After the first event: share of the route's maximum event gap for which the endpoint may be silent. */
const eventGapSilenceShare = 0.7
/** A started run is abandoned after this many maximum event gaps, even if its endpoint is sending. */
const eventGapWaitRatio = 1.5

/** A run that ended at its request's deadline without having received anything for a while. */
export interface EndedSilence {
  /** Time of the silence for which this process was held up. */
  readonly heldUpMilliseconds: number
  /** The rest of it. */
  readonly heardMilliseconds: number
  readonly latencyTargetMilliseconds: number
  readonly maximumEventGapMilliseconds: number
}

/**
 * Whether a silence says something of the endpoint. One that contains a stall of this process does so only where the
 * rest of it would be enough to abandon a run.
 *
 * @example
 * const isCounted = isSilenceHeard({ heldUpMilliseconds: 0, heardMilliseconds: 1_900, latencyTargetMilliseconds: 2_000, maximumEventGapMilliseconds: 1_200 })
 */
export function isSilenceHeard ({ heldUpMilliseconds, heardMilliseconds, latencyTargetMilliseconds, maximumEventGapMilliseconds }: EndedSilence): boolean {
  if (heldUpMilliseconds <= 0) return true
  return heardMilliseconds >= Math.min(latencyTargetMilliseconds * startSilenceTargetShare, maximumEventGapMilliseconds * eventGapSilenceShare)
}

/** A silent run. */
export interface RunSilence {
  /** Time since it was sent, or since the last part of its response (the head or bytes of the body) was received. Like the endpoint's silence, without time in which nothing could be heard. */
  readonly waitedMilliseconds: number
  /** Time since anything was received from its endpoint, by any run; infinite if nothing ever was. */
  readonly endpointSilentMilliseconds: number
  /** Time that requests were seen to wait at its endpoint lately; a busy endpoint is silent for as long without being gone. */
  readonly endpointWaitMilliseconds: number
  /** Time that the endpoint is expected to need for reading the run's prompt. */
  readonly promptMilliseconds: number
  /** Whether this daemon is being stopped: what it begins anew may not end in the time that is left. */
  readonly isStopping: boolean
  /** Whether its first complete event, or the head of an error response, was received. */
  readonly hasStarted: boolean
  /** Target of the route for the time to the first event. */
  readonly latencyTargetMilliseconds: number
  /** Largest gap between two events of a stream that is on time, by the route. */
  readonly maximumEventGapMilliseconds: number
}

/**
 * Time until a run could be abandoned if nothing more is received from its endpoint.
 *
 * @returns milliseconds; 0 or less if it should be abandoned now
 * @example
 * const milliseconds = millisecondsToAbandonment({ waitedMilliseconds: 0, endpointSilentMilliseconds: 0, endpointWaitMilliseconds: 0, promptMilliseconds: 0, isStopping: false, hasStarted: true, latencyTargetMilliseconds: 2_000, maximumEventGapMilliseconds: 1_200 })
 */
export function millisecondsToAbandonment (silence: RunSilence): number {
  const { waitedMilliseconds, promptMilliseconds, hasStarted, isStopping, latencyTargetMilliseconds, maximumEventGapMilliseconds } = silence
  // The endpoint may have been idle before the run was sent; only its silence during the wait counts.
  const endpointSilentDuringWaitMilliseconds = Math.min(waitedMilliseconds, silence.endpointSilentMilliseconds)
  const allowedSilenceMilliseconds = hasStarted
    ? maximumEventGapMilliseconds * eventGapSilenceShare
    : Math.max(minimumStartSilenceMilliseconds, latencyTargetMilliseconds * startSilenceTargetShare) + silence.endpointWaitMilliseconds + promptMilliseconds
  const allowedGapMilliseconds = isStopping ? Number.POSITIVE_INFINITY : maximumEventGapMilliseconds * eventGapWaitRatio
  const allowedWaitMilliseconds = hasStarted ? allowedGapMilliseconds : latencyTargetMilliseconds * startWaitTargetRatio + promptMilliseconds
  return Math.min(allowedSilenceMilliseconds - endpointSilentDuringWaitMilliseconds, allowedWaitMilliseconds - waitedMilliseconds)
}
