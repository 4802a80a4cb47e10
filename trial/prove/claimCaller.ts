/**
 * A daemon's path of a non-idempotent request, reduced to the claim and one call of a service, and a
 * service that keeps its own record of what it ran and for which attempt. What is asserted is read
 * from that record, never from what the daemon says.
 */
import { type Clock, Refusal, RefusalCode, RunState } from '../../src/contract/index.ts'
import { ClaimPoint, type Claim, type ClaimRequest, type ClaimSteps, type Claims, type StoredAnswer } from '../../src/claim/index.ts'

/** What befalls one call of the service. */
export const CallFault = {
  None: 'answered',
  /** Refused before a byte left; certainly not run. */
  NeverSent: 'never_sent',
  /** The connection dies before the request arrives. */
  RequestLost: 'request_lost',
  /** It runs, but the answer does not come back. */
  ReplyLost: 'reply_lost',
  /** It arrives and runs only after the caller has given up. */
  ArrivesLate: 'arrives_late'
} as const
export type CallFault = typeof CallFault[keyof typeof CallFault]

/** One run in the service's own record. */
export interface ServiceRun {
  readonly key: string
  readonly attempt: number
  readonly at: number
}

/** Milliseconds for which a late request is under way. */
const lateArrivalMilliseconds = 3_000

/** A service whose calls may not be repeated. */
export class RecordingService {
  readonly runs: ServiceRun[] = []
  readonly #clock: Clock

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Runs a request, unless its fate keeps it away; undefined where no answer comes back. */
  async call (key: string, attempt: number, fault: CallFault): Promise<StoredAnswer | undefined> {
    if (fault === CallFault.RequestLost) return undefined
    if (fault === CallFault.ArrivesLate) {
      this.#clock.sleep(lateArrivalMilliseconds).then(() => this.#run(key, attempt))
      return undefined
    }
    const answer = this.#run(key, attempt)
    return fault === CallFault.ReplyLost ? undefined : answer
  }

  /** Whether a key has run, by the record. */
  lookUpRun (key: string): StoredAnswer | 'not_run' {
    return this.runs.some(run => run.key === key) ? answerFor(key) : 'not_run'
  }

  #run (key: string, attempt: number): StoredAnswer {
    this.runs.push({ key, attempt, at: this.#clock.now() })
    return answerFor(key)
  }
}

/** The answer that belongs to a key. */
export function answerFor (key: string): StoredAnswer {
  return { status: 200, contentType: 'application/json', body: JSON.stringify({ done: key }) }
}

/** How an attempt ended for its caller. */
export type CallerOutcome = StoredAnswer | Refusal

/** What one attempt goes through. */
export interface CallerAttempt {
  readonly number: number
  readonly request: ClaimRequest
  readonly fault: CallFault
}

/**
 * Takes a request through the claim and the service as a daemon does.
 *
 * @example
 * const outcome = await callOnce({ claims, steps, service, clock }, attempt)
 */
export async function callOnce (dependencies: { readonly claims: Claims, readonly steps: ClaimSteps, readonly service: RecordingService, readonly clock: Clock }, attempt: CallerAttempt): Promise<CallerOutcome> {
  const opened = await dependencies.claims.open(attempt.request)
  if (opened.err) return opened.val
  const claimResult = opened.val
  if (claimResult.kind === 'answer') return claimResult.answer
  if (claimResult.kind === 'running') return new Refusal(RefusalCode.RequestStillRunning, RunState.Unknown, 'it is still running', 1)
  if (claimResult.kind === 'unknown') return new Refusal(RefusalCode.OutcomeUnknown, RunState.Unknown, 'the outcome is unknown')
  if (claimResult.kind === 'mismatch') return new Refusal(RefusalCode.IdempotencyKeyReused, RunState.Unknown, 'the key names another request')
  return runClaimed(dependencies, attempt, claimResult.claim)
}

async function runClaimed (dependencies: { readonly steps: ClaimSteps, readonly service: RecordingService, readonly clock: Clock }, attempt: CallerAttempt, claim: Claim): Promise<CallerOutcome> {
  const dispatched = await claim.dispatch()
  if (dispatched.err) return dispatched.val
  const callResult = await dependencies.steps.wait(ClaimPoint.Call, async () => {
    // In the same turn as the send, as the service client does.
    const mayStillSend = dependencies.clock.now() < dispatched.val.sendBefore && attempt.fault !== CallFault.NeverSent
    if (!mayStillSend) return 'never' as const
    return dependencies.service.call(attempt.request.idempotencyKey, attempt.number, attempt.fault)
  })
  if (callResult === 'never') {
    await claim.release()
    return new Refusal(RefusalCode.EndpointFailed, RunState.NotRun, 'it was not sent', 1)
  }
  if (callResult === undefined) {
    await claim.markUnknown()
    return new Refusal(RefusalCode.OutcomeUnknown, RunState.Unknown, 'no answer came back')
  }
  await claim.settle(callResult)
  return callResult
}
