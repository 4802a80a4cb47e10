/**
 * A daemon's path of a non-idempotent request, reduced to the claim and one call of a service, and a
 * service that keeps its own record of what it ran and for which attempt. What is asserted is read
 * from that record, never from what the daemon says.
 */
import { type Clock, Refusal, RefusalCode, RunState } from '../../src/contract/index.ts'
import { ClaimPoint, type Claim, type ClaimRequest, type ClaimSteps, type Claims, type StoredAnswer } from '../../src/claim/index.ts'

/** What befalls one call of the service. */
export const CallFate = {
  Answered: 'answered',
  /** Refused before a byte left; certainly not run. */
  NeverSent: 'never_sent',
  /** The connection dies before the request arrives. */
  RequestLost: 'request_lost',
  /** It runs, but the answer does not come back. */
  ReplyLost: 'reply_lost',
  /** It arrives and runs only after the caller has given up. */
  ArrivesLate: 'arrives_late'
} as const
export type CallFate = typeof CallFate[keyof typeof CallFate]

/** One run in the service's own record. */
export interface ServiceRun {
  readonly key: string
  readonly attempt: number
  readonly at: number
}

/** Milliseconds for which a late request is under way. */
const lateMilliseconds = 3_000

/** A service whose calls may not be repeated. */
export class RecordingService {
  readonly runs: ServiceRun[] = []
  readonly #clock: Clock

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Runs a request, unless its fate keeps it away; undefined where no answer comes back. */
  async call (key: string, attempt: number, fate: CallFate): Promise<StoredAnswer | undefined> {
    if (fate === CallFate.RequestLost) return undefined
    if (fate === CallFate.ArrivesLate) {
      this.#clock.sleep(lateMilliseconds).then(() => this.#run(key, attempt))
      return undefined
    }
    const answer = this.#run(key, attempt)
    return fate === CallFate.ReplyLost ? undefined : answer
  }

  /** Whether a key has run, by the record. */
  hasRun (key: string): StoredAnswer | 'not_run' {
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
  readonly fate: CallFate
}

/**
 * Takes a request through the claim and the service as a daemon does.
 *
 * @example
 * const outcome = await callOnce({ claims, steps, service, clock }, attempt)
 */
export async function callOnce (parts: { readonly claims: Claims, readonly steps: ClaimSteps, readonly service: RecordingService, readonly clock: Clock }, attempt: CallerAttempt): Promise<CallerOutcome> {
  const opening = await parts.claims.open(attempt.request)
  if (opening.err) return opening.val
  const found = opening.val
  if (found.kind === 'answer') return found.answer
  if (found.kind === 'running') return new Refusal(RefusalCode.RequestStillRunning, RunState.Unknown, 'it is still running', 1)
  if (found.kind === 'unknown') return new Refusal(RefusalCode.OutcomeUnknown, RunState.Unknown, 'the outcome is unknown')
  if (found.kind === 'mismatch') return new Refusal(RefusalCode.IdempotencyKeyReused, RunState.Unknown, 'the key names another request')
  return runClaimed(parts, attempt, found.claim)
}

async function runClaimed (parts: { readonly steps: ClaimSteps, readonly service: RecordingService, readonly clock: Clock }, attempt: CallerAttempt, claim: Claim): Promise<CallerOutcome> {
  const dispatched = await claim.dispatch()
  if (dispatched.err) return dispatched.val
  const sent = await parts.steps.wait(ClaimPoint.Call, async () => {
    // In the same turn as the send, as the service client does.
    const mayStillSend = parts.clock.now() < dispatched.val.sendBefore && attempt.fate !== CallFate.NeverSent
    if (!mayStillSend) return 'never' as const
    return parts.service.call(attempt.request.idempotencyKey, attempt.number, attempt.fate)
  })
  if (sent === 'never') {
    await claim.release()
    return new Refusal(RefusalCode.EndpointFailed, RunState.NotRun, 'it was not sent', 1)
  }
  if (sent === undefined) {
    await claim.markUnknown()
    return new Refusal(RefusalCode.OutcomeUnknown, RunState.Unknown, 'no answer came back')
  }
  await claim.settle(sent)
  return sent
}
