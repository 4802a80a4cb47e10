/**
 * Interfaces of the policies and of their inputs. A policy reads immutable views and decides
 * synchronously, so that no decision is based on partly updated state. The daemon and the bench use the
 * same objects. Policies learn through `observe…` calls and hold no connection, timer or file.
 */
import type { EndpointDescription, LoadReport, Priority, Refusal, Result, VersionName } from '../contract/index.ts'

/** A version that a request may run on. */
export interface VersionCandidate {
  readonly name: VersionName
  /** Cost units per token. */
  readonly price: number
  /** Whether a reachable endpoint has it loaded. */
  readonly available: boolean
}

/** Properties of a request that version selection uses. */
export interface VersionRequest {
  readonly organisation: string
  readonly kind: string
  /** The version of the session; defined if the session already has one, so that no other can be chosen. */
  readonly pinnedVersion: VersionName | undefined
  readonly streamed: boolean
  readonly promptTokens: number
  readonly expectedCompletionTokens: number
  /** Estimated difficulty before the request runs, 0 to 1, if known. */
  readonly difficultyHint: number | undefined
  /** Milliseconds left until the answer is due. */
  readonly remainingMilliseconds: number
  /** Share of good answers that the organisation requires, 0 to 1. */
  readonly qualityTarget: number
  /** Whether it opens a session: later turns will be pinned to the version that answers it. */
  readonly opensSession?: boolean
}

/** One step of a cascade. */
export interface PlanStep {
  readonly version: VersionName
  /** Release the answer if its rating is at least this; if undefined, release it without a rating. */
  readonly releaseAtRating: number | undefined
  /** Whether to rate the answer after its release, for learning. */
  readonly rateAfterwards: boolean
  /** With a rating below this, skip the next step if another one follows it. */
  readonly skipNextBelowRating?: number
  /** With a rating below this, release the answer: no other version is expected to be better by enough. */
  readonly releaseBelowRating?: number
}

/**
 * The versions to try, in order; the last step always releases its answer. If a rating fails, the
 * answer counts as rated too low and the next step is taken.
 */
export interface VersionPlan {
  readonly steps: readonly PlanStep[]
}

/** An answer and its rating. */
export interface RatedAnswer {
  readonly organisation: string
  readonly kind: string
  readonly version: VersionName
  readonly difficultyHint: number | undefined
  /** Ratings of earlier steps of the same request; without them the version of a later step is underestimated. */
  readonly earlierRatings?: readonly { readonly version: VersionName, readonly rating: number }[]
  /** 0 to 100, as returned by the rating service. */
  readonly rating: number
  /** Milliseconds since the epoch. */
  readonly at: number
}

/** Chooses versions by quality and cost. */
export interface VersionPolicy {
  /**
   * Plans a request.
   *
   * @param candidates the versions its organisation allows, none withdrawn
   * @returns a refusal where no candidate is available
   * @example
   * const plan = policy.plan(request, candidates, clock.now())
   */
  plan (request: VersionRequest, candidates: readonly VersionCandidate[], now: number): Result<VersionPlan, Refusal>
  /** Learns from a rating. */
  observeRating (answer: RatedAnswer): void
  /** Records that a rating failed: for a while, no plan makes an answer wait for a rating. */
  observeRatingFailure (now: number): void
}

/** One daemon's view of an endpoint. */
export interface EndpointView {
  readonly endpoint: EndpointDescription
  /** Whether it is believed to be reachable. */
  readonly healthy: boolean
  /** Whether any source marks it as leaving: it gets no new work. */
  readonly leaving: boolean
  /** Its last load report; `reportedAt` is the time of its arrival at this daemon. */
  readonly report: LoadReport | undefined
  readonly reportedAt: number
}

/** Properties of a request that endpoint selection uses. */
export interface EndpointRequest {
  readonly id: string
  readonly organisation: string
  readonly version: VersionName
  /** Requests with the same key share a prompt prefix that engines cache. */
  readonly prefixKey: string
  readonly session: string | undefined
  readonly promptTokens: number
  readonly expectedCompletionTokens: number
  readonly priority: Priority
  readonly remainingMilliseconds: number
  /** Names of endpoints that earlier attempts of this request used. */
  readonly excludedEndpoints: ReadonlySet<string>
}

/** The endpoint selected for one attempt. */
export interface EndpointChoice {
  readonly endpoint: EndpointDescription
  /** Estimated milliseconds until the first token. */
  readonly expectedFirstTokenMilliseconds: number
}

/** How an attempt ended. */
export const AttemptEnd = {
  Answered: 'answered',
  /** It failed in a way that indicates a fault of the endpoint. */
  Failed: 'failed',
  /** The caller cancelled it or a hedged attempt won; it carries no information about the endpoint. */
  Cancelled: 'cancelled'
} as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** How an attempt ended, and its measurements. */
export interface AttemptOutcome {
  readonly end: AttemptEnd
  /** Milliseconds from sending to the first token; undefined if there was none. */
  readonly firstTokenMilliseconds: number | undefined
  readonly completionTokens: number
}

/** Handle of an attempt in flight, held by its sender. */
export interface AttemptHandle {
  /** Records the arrival of the first token. */
  recordFirstToken (now: number): void
  /** Records the end of the attempt; called exactly once. */
  close (outcome: AttemptOutcome, now: number): void
}

/** Chooses endpoints by latency. */
export interface EndpointPolicy {
  /**
   * Chooses an endpoint that has the version.
   *
   * @returns `RefusalCode.NoEndpoint`, `Overloaded` or `DeadlineTooNear` as an early, final refusal
   * @example
   * const choice = policy.choose(request, views, clock.now())
   */
  choose (request: EndpointRequest, views: readonly EndpointView[], now: number): Result<EndpointChoice, Refusal>
  /** Load on a version's endpoints: 1 when all slots are taken, more when requests wait. */
  pressure (version: VersionName, views: readonly EndpointView[]): number
  /** Counts an attempt as in flight from now on. */
  open (request: EndpointRequest, choice: EndpointChoice, now: number): AttemptHandle
}

/** Properties of a request that admission uses. */
export interface AdmissionRequest {
  readonly organisation: string
  /** Share of the fleet, relative to the shares of the other organisations. */
  readonly share: number
  /** The sum of all organisations' shares. */
  readonly totalShares: number
  readonly priority: Priority
  /** Estimated work, in tokens that cost as much as a generated one. */
  readonly work: number
}

/** An admitted request; closed when its work has ended. */
export interface Admission {
  /** Whether it is within the organisation's share or capacity lent from unused shares. */
  readonly withinShare: boolean
  close (): void
}

/** Limits each organisation to its share when capacity is scarce. */
export interface AdmissionPolicy {
  /**
   * Admits or refuses a request immediately.
   *
   * @param pressure load on the engines: 0 when idle, 1 when all slots are taken, more when requests wait
   * @returns `RefusalCode.ShareExceeded` with the seconds after which to retry
   */
  admit (request: AdmissionRequest, pressure: number, now: number): Result<Admission, Refusal>
}

/** Limits extra attempts to a share of first attempts, so that retries can't amplify an overload. */
export interface AttemptBudget {
  recordFirstAttempt (now: number): void
  /** Takes one extra attempt from the budget; false if it is exhausted. */
  tryAcquire (now: number): boolean
}

/** One result on the old or the new version of a roll-out; results are compared within a kind. */
export interface RollOutEvidence {
  readonly version: VersionName
  readonly kind: string
  /** 0 to 100; undefined for an attempt that failed. */
  readonly rating: number | undefined
  readonly difficultyHint: number | undefined
  readonly at: number
}

/** Decision of a roll-out guard. */
export const RollOutVerdict = {
  /** Not enough evidence yet. */
  Continue: 'continue',
  /** The new version is not worse: take the next step. */
  Advance: 'advance',
  /** The new version is worse: stop new sessions. */
  Halt: 'halt'
} as const
export type RollOutVerdict = typeof RollOutVerdict[keyof typeof RollOutVerdict]

/** Monitors one roll-out with a sequential test. */
export interface RollOutGuard {
  observe (evidence: RollOutEvidence): void
  /** Records whether an attempt took far longer than usual. */
  observeTime (version: VersionName, isSlow: boolean): void
  verdict (now: number): RollOutVerdict
}
