/**
 * A daemon's handling of a non-idempotent request, reduced to the claim and one call of a service, and
 * a service that records each run and the attempt that caused it. Tests check this record, never what
 * the daemon reports.
 */
import { type Clock, Refusal, RefusalCode, RunState } from '../../src/contract/index.ts'
import { ClaimPoint, type Claim, type ClaimRequest, type ClaimSteps, type Claims, type StoredAnswer } from '../../src/claim/index.ts'

/** The fault that is injected into one call of the service. */
export const CallFault = {
  None: 'answered',
  /** Fails before the first byte is sent; the call has certainly not run. */
  NeverSent: 'never_sent',
  /** The connection fails before the request arrives. */
  RequestLost: 'request_lost',
  /** The call runs, but the answer is lost. */
  ReplyLost: 'reply_lost',
  /** The request arrives and runs only after the caller has given up. */
  ArrivesLate: 'arrives_late'
} as const
export type CallFault = typeof CallFault[keyof typeof CallFault]

/** One run of a call in the record of the service. */
export interface ServiceRun {
  readonly key: string
  readonly attempt: number
  readonly at: number
}

/** Delay after which a late request arrives. */
const lateArrivalMilliseconds = 3_000

/** A service that is not idempotent and records every run. */
export class RecordingService {
  readonly runs: ServiceRun[] = []
  readonly #clock: Clock

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Runs a call unless the fault prevents it; undefined if the caller receives no answer. */
  async call (key: string, attempt: number, fault: CallFault): Promise<StoredAnswer | undefined> {
    if (fault === CallFault.RequestLost) return undefined
    if (fault === CallFault.ArrivesLate) {
      this.#clock.sleep(lateArrivalMilliseconds).then(() => this.#run(key, attempt))
      return undefined
    }
    const answer = this.#run(key, attempt)
    return fault === CallFault.ReplyLost ? undefined : answer
  }

  /** The answer to a key that has run, according to the record; `not_run` otherwise. */
  lookUpRun (key: string): StoredAnswer | 'not_run' {
    return this.runs.some(run => run.key === key) ? answerFor(key) : 'not_run'
  }

  #run (key: string, attempt: number): StoredAnswer {
    this.runs.push({ key, attempt, at: this.#clock.now() })
    return answerFor(key)
  }
}

/** The answer that the service gives to a key. */
export function answerFor (key: string): StoredAnswer {
  return { status: 200, contentType: 'application/json', body: JSON.stringify({ done: key }) }
}

/** The answer or the refusal that the caller of an attempt receives. */
export type CallerOutcome = StoredAnswer | Refusal

/** One attempt and the fault that is injected into it. */
export interface CallerAttempt {
  readonly number: number
  readonly request: ClaimRequest
  readonly fault: CallFault
}

/**
 * Handles a request with a claim and a call of the service, as a daemon does.
 *
 * @example
 * const outcome = await callOnce({ claims, steps, service, clock }, attempt)
 */
export async function callOnce (dependencies: { readonly claims: Claims, readonly steps: ClaimSteps, readonly service: RecordingService, readonly clock: Clock }, attempt: CallerAttempt): Promise<CallerOutcome> {
  const opened = await dependencies.claims.open(attempt.request)
  if (opened.err) return opened.val
  const claimResult = opened.val
  if (claimResult.kind === 'answer') return claimResult.answer
  if (claimResult.kind === 'running') return new Refusal(RefusalCode.RequestStillRunning, RunState.Unknown, 'the request is still running', 1)
  if (claimResult.kind === 'unknown') return new Refusal(RefusalCode.OutcomeUnknown, RunState.Unknown, 'the outcome of the request is unknown')
  if (claimResult.kind === 'mismatch') return new Refusal(RefusalCode.IdempotencyKeyReused, RunState.Unknown, 'the idempotency key belongs to another request')
  return runClaimed(dependencies, attempt, claimResult.claim)
}

async function runClaimed (dependencies: { readonly steps: ClaimSteps, readonly service: RecordingService, readonly clock: Clock }, attempt: CallerAttempt, claim: Claim): Promise<CallerOutcome> {
  const dispatched = await claim.dispatch()
  if (dispatched.err) return dispatched.val
  const callResult = await dependencies.steps.wait(ClaimPoint.Call, async () => {
    // Checked in the same turn of the event loop as the send, as the service client does.
    const mayStillSend = dependencies.clock.now() < dispatched.val.sendBefore && attempt.fault !== CallFault.NeverSent
    if (!mayStillSend) return 'never' as const
    return dependencies.service.call(attempt.request.idempotencyKey, attempt.number, attempt.fault)
  })
  if (callResult === 'never') {
    await claim.release()
    return new Refusal(RefusalCode.EndpointFailed, RunState.NotRun, 'the request was not sent', 1)
  }
  if (callResult === undefined) {
    await claim.markUnknown()
    return new Refusal(RefusalCode.OutcomeUnknown, RunState.Unknown, 'the service did not answer')
  }
  await claim.settle(callResult)
  return callResult
}
