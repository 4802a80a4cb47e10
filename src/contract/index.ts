/**
 * What every other module speaks of: places, versions, requests, refusals, time and chance. It
 * imports nothing of ours, holds no state, and does no input or output.
 */
export { Ok, Err, Result } from 'ts-results'
export { type Clock, SystemClock, sleepUntil } from './clock.ts'
export { within } from './within.ts'
export { type Randomness, SeededRandomness, SystemRandomness, hashOf, rendezvousOrder } from './randomness.ts'
export { type Place, Nearness, nearnessOf } from './place.ts'
export { type VersionName, versionName, modelOf, VersionState } from './version.ts'
export { Refusal, RefusalCode, RunState } from './refusal.ts'
export { invariant, InvariantBroken, invariantCounts } from './invariant.ts'
export { EndpointKind, type EndpointDescription, type LoadReport } from './endpoint.ts'
export { type ChatMessage, type ChatRequest, type TokenUsage, Priority, attemptCost, promptTokensPerUnit } from './chat.ts'
export { knownOrMade } from './knownOrMade.ts'
