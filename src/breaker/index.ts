/** Circuit breaker on the content of requests: a request or prompt part that crashes endpoints is blamed, blocked at all gateways, and tried again rarely. */
export {
  type SharedPrompt, type OrganisationPart, type SuspectRun, type SuspectRequest, type CrashReport, type PartBlock, type PartAnswer, type BlockedPrompt, type BreakerChange, isRequestPart
} from './contract.ts'
export { PromptBreaker, type PromptBreakerOptions, type BreakerUpdate } from './promptBreaker.ts'
export { type BreakerNews } from './freshNews.ts'
export { EndpointRuns, type EndpointRun, type EndpointRunsOptions, type RunDescription, type CrashCheck } from './endpointRuns.ts'
export { logBreakerChange } from './breakerLog.ts'
export { connectionCheck } from './crashCheck.ts'
export { breakerNewsSchema, decodeBreakerNews, encodeBreakerNews, type EncodedBreakerNews } from './breakerMessages.ts'
export { requestDigest, type RequestContent } from './requestDigest.ts'
export { factHashes, newsBeyond, summaryOf } from './newsFacts.ts'
