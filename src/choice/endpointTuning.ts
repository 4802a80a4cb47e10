/**
 * Parameters of endpoint selection. They apply to any fleet: what differs between fleets (speeds, batch
 * sizes, loads) is read from the engines' reports.
 */

export interface EndpointTuning {
  /** Endpoints sampled by free capacity, in addition to the one with affinity. */
  readonly sampleCount: number
  /** Endpoints considered for the affinity of a prefix or session, in order of their scores. */
  readonly affinityCandidateCount: number
  /** Highest load of an endpoint that keeps its affinity, as a multiple of the mean load. */
  readonly loadBoundFactor: number
  /** Share of a session's prompt that its last endpoint is expected to have cached. */
  readonly sessionCachedShare: number
  /** Share of a prompt without a session that the endpoint with affinity is expected to have cached. */
  readonly prefixCachedShare: number
  /** Weight of a millisecond of prefill relative to one of latency: the requests behind wait for it too. */
  readonly prefillWeight: number
  /** Age in milliseconds at which a report and the mean of all candidates have equal weight. */
  readonly reportHalfLifeMilliseconds: number
  /** Estimated round trip to another data centre of the region. */
  readonly regionRoundTripMilliseconds: number
  /** Estimated round trip to the other region. */
  readonly otherRegionRoundTripMilliseconds: number
  /** Milliseconds that the other region must save, because its link is billed by volume. */
  readonly otherRegionMinimumGainMilliseconds: number
  /** Estimated milliseconds to load a version that no engine has loaded. */
  readonly coldLoadMilliseconds: number
  /** Assumed prompt tokens per second of an engine without a report. */
  readonly assumedPrefillTokensPerSecond: number
  /** Assumed milliseconds between tokens of an engine without a report. */
  readonly assumedBetweenTokensMilliseconds: number
  /** Assumed stream limit of an engine without a report. */
  readonly assumedStreamLimit: number
}

export const defaultEndpointTuning: EndpointTuning = {
  sampleCount: 2,
  affinityCandidateCount: 2,
  loadBoundFactor: 1.25,
  sessionCachedShare: 0.7,
  prefixCachedShare: 0.6,
  prefillWeight: 1,
  reportHalfLifeMilliseconds: 1_500,
  regionRoundTripMilliseconds: 2,
  otherRegionRoundTripMilliseconds: 45,
  otherRegionMinimumGainMilliseconds: 1_000,
  coldLoadMilliseconds: 20_000,
  assumedPrefillTokensPerSecond: 4_000,
  assumedBetweenTokensMilliseconds: 30,
  assumedStreamLimit: 16
}
