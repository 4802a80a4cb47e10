/** The decisions: version, endpoint, limits, attempts and roll-outs. */
export * from './contract.ts'
export { LearnedVersionPolicy, type LearnedVersionPolicyOptions } from './versionPolicy.ts'
export { type BeliefNews, type LedgerNews, type VersionDigest } from './versionDigest.ts'
export { SequentialRollOutGuard, type SequentialRollOutGuardOptions } from './rollOutGuard.ts'
export { RatingDriftWatch } from './ratingDriftWatch.ts'
