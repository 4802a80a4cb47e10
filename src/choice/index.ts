/** The decisions: version, endpoint, limits, attempts and roll-outs. */
export * from './contract.ts'
export { LearnedVersionPolicy, type LearnedVersionPolicyOptions } from './versionPolicy.ts'
export { type BeliefNews, type LedgerNews, type VersionDigest } from './versionDigest.ts'
