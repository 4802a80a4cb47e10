/**
 * The figures by which endpoints are chosen. They hold for any fleet: what differs between fleets
 * (speeds, batch sizes, loads) is read from the engines' reports.
 */

/** The figures of the endpoint policy. */
export interface EndpointTuning {
  /** Endpoints sampled by their room, besides the ones that the prefix belongs to. */
  readonly sampleCount: number
  /** Endpoints that one prefix or session may belong to, in order of preference. */
  readonly affinityCandidateCount: number
  /** How far above the mean load an endpoint may be and still be preferred for a prefix, as a factor. */
  readonly loadBoundFactor: number
  /** The share of a session's prompt that its own endpoint is expected to have cached. */
  readonly sessionCachedShare: number
  /** The share of a prompt without a session that the prefix's endpoint is expected to have cached. */
  readonly prefixCachedShare: number
  /** How much a millisecond of prefill weighs beside one of waiting: the requests behind wait for it too. */
  readonly prefillWeight: number
  /** After so many milliseconds a report says as much about an endpoint as the mean of all does. */
  readonly reportHalfLifeMilliseconds: number
  /** Estimated round trip to another data centre of the region. */
  readonly regionRoundTripMilliseconds: number
  /** Estimated round trip to the other region. */
  readonly otherRegionRoundTripMilliseconds: number
  /** The other region must promise to be sooner by so many milliseconds, for its link is paid for. */
  readonly otherRegionMinimumGainMilliseconds: number
  /** Estimated wait for a version that an engine has yet to load. */
  readonly coldLoadMilliseconds: number
  /** Prompt tokens a second assumed of an engine that has not reported. */
  readonly assumedPrefillTokensPerSecond: number
  /** Milliseconds between tokens assumed of an engine that has not reported. */
  readonly assumedBetweenTokensMilliseconds: number
  /** Streams assumed of an engine that has not reported. */
  readonly assumedStreamLimit: number
}

/** The figures that the daemon uses. */
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
