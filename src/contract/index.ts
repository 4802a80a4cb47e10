/**
 * Shared types and functions: places, versions, requests, refusals, time and randomness. This module
 * imports no other module of the project and does no I/O; its only state is the count of invariant
 * checks.
 */
export { Ok, Err, Result } from 'ts-results'
export { type Clock, SystemClock, sleepAfterInput, sleepUntil } from './clock.ts'
export { type HoldUpListener } from './eventLoopMonitor.ts'
export { maximumInputReadMilliseconds, untilInputIsRead } from './inputPoll.ts'
export { withDeadline } from './withDeadline.ts'
export { deadlineSignal, type CancellableSignal } from './deadlineSignal.ts'
export { ReplyDeadline } from './replyDeadline.ts'
export { retryIfHeldUp, replyTimeoutSignal, scheduleReplyTimeout, withReplyTimeout } from './replyTimeout.ts'
export { Wait } from './wait.ts'
export { Wakeup } from './wakeup.ts'
export { type Randomness, SeededRandomness, SystemRandomness, hashFraction, randomSample, rendezvousOrder } from './randomness.ts'
export { type Place, Proximity, proximityOf } from './place.ts'
export { type VersionName, versionName, modelOf, VersionState } from './version.ts'
export { promisesNotRun, statesNotRun, unpromisingStatus } from './notRunPromise.ts'
export { Refusal, RefusalCode, RunState } from './refusal.ts'
export { type RetryLimits } from './retryLimits.ts'
export { invariant, InvariantViolation, invariantCounts } from './invariant.ts'
export { EndpointKind, type EndpointDescription, type LoadReport } from './endpoint.ts'
export { type ChatMessage, type ChatRequest, type TokenUsage, Priority, attemptCost, promptTokensPerGeneratedToken } from './chat.ts'
export { getOrCreate } from './getOrCreate.ts'
export { dropOldest } from './dropOldest.ts'
