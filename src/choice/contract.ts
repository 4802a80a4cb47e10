/**
 * The decisions and what they read. Each policy reads immutable views and decides without waiting,
 * so that a decision is never made on half-changed news; the daemon and the bench drive the same
 * objects. Policies learn through `observe…` calls and hold no connection, timer or file.
 */
import type { EndpointDescription, LoadReport, Priority, Refusal, Result, VersionName } from '../contract/index.ts'

/** A version that a request may run on. */
export interface VersionCandidate {
  readonly name: VersionName
  /** Cost units a token. */
  readonly price: number
  /** Whether some endpoint that can be reached has it loaded. */
  readonly available: boolean
}

/** What the choice of a version reads of a request. */
export interface VersionRequest {
  readonly organisation: string
  readonly kind: string
  /** Present for a request of a session that has its version: no choice is left. */
  readonly pinnedVersion: VersionName | undefined
  readonly streamed: boolean
  readonly promptTokens: number
  readonly expectedCompletionTokens: number
  /** How hard the request looks before it is run, 0 to 1, where that is known. */
  readonly difficultyHint: number | undefined
  /** Milliseconds left until the answer is due. */
  readonly remainingMilliseconds: number
  /** The share of good answers the organisation asks for, 0 to 1. */
  readonly qualityTarget: number
  /** It opens a session: later turns will be pinned to the version that answers it. */
  readonly opensSession?: boolean
}

/** One step of a cascade. */
export interface PlanStep {
  readonly version: VersionName
  /** Release the answer if its rating is at least this; absent: release it unrated. */
  readonly releaseAtRating: number | undefined
  /** Rate the answer after its release, to learn. */
  readonly rateAfterwards: boolean
  /** With a rating below this the next step is left out, where another follows it. */
  readonly skipNextBelowRating?: number
  /** With a rating below this the answer is released: no version is expected to do enough better. */
  readonly releaseBelowRating?: number
}

/**
 * The versions to try, in order; the last step always releases. A step that waits for a rating
 * which does not come counts as rated too low: the next step is taken.
 */
export interface VersionPlan {
  readonly steps: readonly PlanStep[]
}

/** What became of a rated answer. */
export interface RatedAnswer {
  readonly organisation: string
  readonly kind: string
  readonly version: VersionName
  readonly difficultyHint: number | undefined
  /** Ratings of earlier steps of the same request; without them a later step's version looks weaker than it is. */
  readonly earlierRatings?: readonly { readonly version: VersionName, readonly rating: number }[]
  /** 0 to 100, as the rating service read it. */
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
  /** Learns that a rating did not come in time: for a while no answer is planned to wait for one. */
  observeRatingFailure (now: number): void
}

/** What is known of an endpoint at one daemon. */
export interface EndpointView {
  readonly endpoint: EndpointDescription
  /** Reachable, as far as is known. */
  readonly healthy: boolean
  /** Marked leaving by any source: it gets nothing new. */
  readonly leaving: boolean
  /** Its last report, with the moment of its arrival at this daemon. */
  readonly report: LoadReport | undefined
  readonly reportedAt: number
}

/** What the choice of an endpoint reads of a request. */
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
  /** Endpoints that an earlier attempt of this request has used. */
  readonly excludedEndpoints: ReadonlySet<string>
}

/** An endpoint for one attempt. */
export interface EndpointChoice {
  readonly endpoint: EndpointDescription
  /** Estimated milliseconds until the first token. */
  readonly expectedFirstTokenMilliseconds: number
}

/** How an attempt ended, as the policy sees it. */
export const AttemptEnd = {
  Answered: 'answered',
  /** It failed in a way that speaks against the endpoint. */
  Failed: 'failed',
  /** It was cancelled by the caller or lost a hedge; it says nothing of the endpoint. */
  Cancelled: 'cancelled'
} as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** An attempt's end and its times. */
export interface AttemptOutcome {
  readonly end: AttemptEnd
  /** Milliseconds from the send to the first token; undefined where none came. */
  readonly firstTokenMilliseconds: number | undefined
  readonly completionTokens: number
}

/** A running attempt, held by the one who sends it. */
export interface AttemptHandle {
  /** Tells the policy that the first token came. */
  recordFirstToken (now: number): void
  /** Tells the policy that the attempt ended; called exactly once. */
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
  /** How full a version's endpoints are: 1 where all places are taken, more where requests wait. */
  pressure (version: VersionName, views: readonly EndpointView[]): number
  /** Counts an attempt as in flight from now on. */
  open (request: EndpointRequest, choice: EndpointChoice, now: number): AttemptHandle
}

/** What the limit of an organisation reads of a request. */
export interface AdmissionRequest {
  readonly organisation: string
  /** The organisation's share of the fleet, relative to the other organisations' shares. */
  readonly share: number
  /** The sum of all organisations' shares. */
  readonly totalShares: number
  readonly priority: Priority
  /** Estimated work, in tokens that cost as much as a generated one. */
  readonly work: number
}

/** A request that was let in; closed when its work is over. */
export interface Admission {
  /** Inside the organisation's share, or lent from what others leave unused. */
  readonly withinShare: boolean
  close (): void
}

/** Keeps each organisation to its share when there is not enough for all. */
export interface AdmissionPolicy {
  /**
   * Lets a request in or refuses it at once.
   *
   * @param pressure how full the engines are, from 0 (idle) over 1 (all places taken) upwards
   * @returns `RefusalCode.ShareExceeded` with the seconds after which to come back
   */
  admit (request: AdmissionRequest, pressure: number, now: number): Result<Admission, Refusal>
}

/** A budget of extra attempts: a share of the first attempts, so that retries can't multiply an overload. */
export interface AttemptBudget {
  /** Counts a first attempt. */
  recordFirstAttempt (now: number): void
  /** Takes one extra attempt from the budget, if it has one. */
  tryAcquire (now: number): boolean
}

/** What a roll-out compares: the same kind of work on the old and on the new version. */
export interface RollOutEvidence {
  readonly version: VersionName
  readonly kind: string
  /** 0 to 100; undefined for an attempt that failed. */
  readonly rating: number | undefined
  readonly difficultyHint: number | undefined
  readonly at: number
}

/** What the guard of a roll-out says. */
export const RollOutVerdict = {
  /** Not enough evidence yet. */
  Continue: 'continue',
  /** The new version holds up: take the next step. */
  Advance: 'advance',
  /** The new version is worse: stop new sessions. */
  Halt: 'halt'
} as const
export type RollOutVerdict = typeof RollOutVerdict[keyof typeof RollOutVerdict]

/** Watches one roll-out by a sequential test. */
export interface RollOutGuard {
  observe (evidence: RollOutEvidence): void
  verdict (now: number): RollOutVerdict
}
