/**
 * Routes calls to plain services. An idempotent call may be retried on another endpoint and needs no
 * claim. A call that is not idempotent is claimed before its first byte is sent, is sent at most
 * once, and a repeat of it is answered from its claim.
 */
import { createHash } from 'node:crypto'
import { type Clock, Err, invariant, promisesNotRun, Ok, type Place, type Randomness, Refusal, RefusalCode, type Result, RunState, withDeadline } from '../contract/index.ts'
import type { Ledger } from '../billing/index.ts'
import type { EndpointRun, EndpointRuns, PromptBreaker } from '../breaker/index.ts'
import type { AttemptBudget, EndpointView } from '../choice/index.ts'
import { type Claim, type ClaimOpenOutcome, type ClaimRequest, type Claims, type StoredAnswer, ClaimPoint } from '../claim/index.ts'
import { type AttemptFailure, DeliveryState, type ServiceResponse, type ServiceCall, type ServiceClient, overdueReason } from '../endpoint/index.ts'
import { formatTraceParent, type Tracer } from '../observe/index.ts'
import { CrashGuard } from './crashGuard.ts'
import { furtherDelivery, refusalAfter, runStateAfter } from './deliveryOfAttempts.ts'
import type { EndpointDirectory } from './endpointDirectory.ts'
import type { AttemptGate, EndpointPlaces } from './endpointPlaces.ts'
import { RequestRetries } from './requestRetries.ts'
import { ServiceEndpoints } from './serviceEndpoints.ts'
import type { ServiceRequest } from './serviceRequest.ts'
import { sharedCallOf } from './sharedPrompt.ts'

export interface ServiceRouterDependencies {
  readonly here: Place
  readonly clock: Clock
  readonly randomness: Randomness
  readonly directory: EndpointDirectory
  readonly services: ServiceClient
  readonly places: EndpointPlaces
  readonly breaker: PromptBreaker
  readonly runs: EndpointRuns
  readonly claims: Claims
  readonly ledger: Ledger
  readonly retries: AttemptBudget
  readonly tracer: Tracer
}

const firstServerErrorStatus = 500
const retryAfterSeconds = 1
const runLookupTimeoutMilliseconds = 2_000
const noUsage = { promptTokens: 0, cachedPromptTokens: 0, completionTokens: 0 }
const always = (): boolean => true

/** Answers calls to plain services. */
export class ServiceRouter {
  readonly #dependencies: ServiceRouterDependencies
  readonly #endpoints: ServiceEndpoints

  constructor (dependencies: ServiceRouterDependencies) {
    this.#dependencies = dependencies
    this.#endpoints = new ServiceEndpoints(dependencies)
  }

  /**
   * Answers a call.
   *
   * @param signal aborted when the caller disconnects; calls that are not idempotent continue, so that their answer is stored
   * @example
   * const answer = await router.answer(request, signal)
   */
  async answer (request: ServiceRequest, signal: AbortSignal): Promise<Result<StoredAnswer, Refusal>> {
    const answer = request.idempotent ? await this.#callIdempotent(request, signal) : await this.#callOnce(request)
    return answer.andThen(withoutFalsePromise)
  }

  async #callIdempotent (request: ServiceRequest, signal: AbortSignal): Promise<Result<StoredAnswer, Refusal>> {
    const { clock } = this.#dependencies
    const excluded = new Set<string>()
    const guard = new CrashGuard(this.#dependencies, sharedCallOf(request))
    let delivery: DeliveryState = DeliveryState.NotSent
    const retries = new RequestRetries(this.#dependencies.retries, clock.now())
    const arrivedAt = clock.now()
    for (;;) {
      const endpoint = await this.#endpoints.choose(request, excluded, arrivedAt, signal)
      if (endpoint.err) return Err(refusalAfter(delivery, endpoint.val))
      const refusal = guard.refusal()
      if (refusal !== undefined) return Err(refusalAfter(delivery, refusal))
      const opened = this.#open(request, guard, endpoint.val)
      const answer = await this.#sendUntilDeadline(request, endpoint.val, opened, signal)
      if (opened.gate.wasHeldBack) continue
      if (answer.ok) return await this.#bill(request, storedAnswerOf(answer.val))
      delivery = furtherDelivery(delivery, answer.val.delivery)
      excluded.add(endpoint.val.endpoint.name)
      const mayRetry = guard.mayRepeat && !signal.aborted && clock.now() < request.deadline && retries.tryTake(clock.now())
      if (mayRetry) continue
      if (clock.now() >= request.deadline) return Err(refusalAfter(delivery, new Refusal(RefusalCode.DeadlineExceeded, RunState.NotRun, 'the deadline of the request has passed')))
      return Err(new Refusal(RefusalCode.EndpointFailed, runStateAfter(delivery), answer.val.reason, retryAfterSeconds))
    }
  }

  async #callOnce (request: ServiceRequest): Promise<Result<StoredAnswer, Refusal>> {
    if (request.idempotencyKey === undefined) {
      return Err(new Refusal(RefusalCode.IdempotencyKeyMissing, RunState.NotRun, 'this call is not idempotent and needs an Idempotency-Key header'))
    }
    const claimRequest = {
      organisation: request.organisation.name,
      idempotencyKey: request.idempotencyKey,
      requestHash: requestHashOf(request),
      deadline: request.deadline
    }
    const opening = await this.#dependencies.claims.open(claimRequest)
    if (opening.err) return opening
    if (opening.val.kind !== 'unknown') return await this.#handleOpening(request, opening.val)
    const resolved = await this.#resolveUnknown(request, claimRequest)
    return resolved.ok ? await this.#handleOpening(request, resolved.val) : Err(resolved.val)
  }

  async #handleOpening (request: ServiceRequest, opening: ClaimOpenOutcome): Promise<Result<StoredAnswer, Refusal>> {
    switch (opening.kind) {
      case 'mine': return await this.#runClaimed(request, opening.claim)
      // The first run may have stopped after storing its answer and before billing it. Billing again is safe: the entry has the same id.
      case 'answer': return await this.#bill(request, opening.answer)
      case 'running': return Err(new Refusal(RefusalCode.RequestStillRunning, RunState.Unknown, 'a request with this key is still running', retryAfterSeconds))
      case 'unknown': return Err(outcomeUnknown())
      case 'mismatch': return Err(new Refusal(RefusalCode.IdempotencyKeyReused, RunState.NotRun, 'the key was used for another request'))
    }
  }

  /** Asks every endpoint of the service, because a call counts as not run only if all of them confirm it. */
  async #resolveUnknown (request: ServiceRequest, wanted: ClaimRequest): Promise<Result<ClaimOpenOutcome, Refusal>> {
    const { claims, clock, directory, services } = this.#dependencies
    const key = serviceKeyOf(request)
    if (key === undefined) return Ok({ kind: 'unknown' })
    return await claims.resolve(wanted, async () => {
      const views = directory.services(request.service)
      const lookupsController = new AbortController()
      const lookups = Promise.all(views.map(view => services.lookUpRun(view.endpoint, key, lookupsController.signal)))
      const replies = await withDeadline(clock, Math.min(clock.now() + runLookupTimeoutMilliseconds, request.deadline), lookups) ?? []
      lookupsController.abort()
      for (const answer of replies) {
        if (answer.ok && typeof answer.val === 'object') return storedAnswerOf(answer.val)
      }
      const isConfirmedNotRun = replies.length > 0 && replies.every(answer => answer.ok && answer.val === 'not_run')
      return isConfirmedNotRun ? 'not_run' : undefined
    })
  }

  async #runClaimed (request: ServiceRequest, claim: Claim): Promise<Result<StoredAnswer, Refusal>> {
    const { claims, clock } = this.#dependencies
    const endpoint = await this.#endpoints.choose(request, new Set(), clock.now(), new AbortController().signal)
    if (endpoint.err) return await this.#release(claim, endpoint.val)
    const guard = new CrashGuard(this.#dependencies, sharedCallOf(request))
    const refusal = guard.refusal()
    if (refusal !== undefined) return await this.#release(claim, refusal)
    const opened = this.#open(request, guard, endpoint.val)
    const dispatched = await claim.dispatch()
    if (dispatched.err) {
      this.#close(opened)
      return dispatched
    }
    const { sendBefore } = dispatched.val
    const answer = await claims.steps.wait(ClaimPoint.Call,
      () => this.#send(request, endpoint.val, opened, () => clock.now() < sendBefore, new AbortController().signal))
    if (answer.ok) return await this.#settle(request, claim, storedAnswerOf(answer.val))
    if (answer.val.delivery === DeliveryState.NotSent) {
      return await this.#release(claim, new Refusal(RefusalCode.EndpointFailed, RunState.NotRun, answer.val.reason, retryAfterSeconds))
    }
    await claim.markUnknown()
    return Err(outcomeUnknown())
  }

  /** Returns the answer even if the store does not respond; the claim keeps trying to record it. */
  async #settle (request: ServiceRequest, claim: Claim, answer: StoredAnswer): Promise<Result<StoredAnswer, Refusal>> {
    await claim.settle(answer)
    return await this.#bill(request, answer)
  }

  async #release (claim: Claim, refusal: Refusal): Promise<Result<StoredAnswer, Refusal>> {
    invariant(refusal.run === RunState.NotRun, 'a released claim was not run', () => ({ code: refusal.code.name }))
    await claim.release()
    return Err(refusal)
  }

  async #bill (request: ServiceRequest, answer: StoredAnswer): Promise<Result<StoredAnswer, Refusal>> {
    const organisation = request.organisation.name
    const recorded = await this.#dependencies.ledger.record({
      id: serviceKeyOf(request) ?? request.id,
      organisation,
      kind: 'service',
      version: undefined,
      service: request.service,
      usage: noUsage,
      cost: 0,
      extraCost: 0,
      at: this.#dependencies.clock.now()
    })
    if (recorded.ok) return Ok(answer)
    return Err(new Refusal(RefusalCode.StoreUnavailable, RunState.Ran, `the answer could not be billed: ${recorded.val.reason}`, retryAfterSeconds))
  }

  #open (request: ServiceRequest, guard: CrashGuard, target: EndpointView): OpenedCall {
    const { run, blocked } = guard.open(target)
    const gate = this.#dependencies.places.open(request.service, target, () => run.recordSent(this.#dependencies.clock.now()))
    return { guard, run, blocked, gate }
  }

  #close ({ run, gate }: OpenedCall): void {
    run.close()
    gate.close()
  }

  /** A service may send bytes for longer than its caller waits. */
  async #sendUntilDeadline (request: ServiceRequest, target: EndpointView, opened: OpenedCall, signal: AbortSignal) {
    const { clock } = this.#dependencies
    const overdue = new AbortController()
    const cancel = clock.scheduleAfterInput(request.deadline - clock.now(), () => overdue.abort(overdueReason))
    const answer = await this.#send(request, target, opened, always, AbortSignal.any([signal, overdue.signal]))
    cancel()
    return answer
  }

  async #send (request: ServiceRequest, target: EndpointView, opened: OpenedCall, mayStillSend: () => boolean, signal: AbortSignal) {
    const span = this.#dependencies.tracer.startSpan('attempt', 'client', request.parent)
    span.setAttribute('endpoint', target.endpoint.name)
    const call: ServiceCall = {
      method: request.method,
      path: request.path,
      contentType: request.contentType,
      body: request.body,
      idempotencyKey: serviceKeyOf(request),
      traceParent: formatTraceParent(span.context),
      gate: opened.gate
    }
    const cancelled = AbortSignal.any([signal, opened.blocked])
    const answer = await this.#dependencies.services.call(target.endpoint, call, mayStillSend, cancelled)
    this.#recordOutcome(opened, answer, cancelled)
    this.#close(opened)
    span.end(answer.err ? answer.val.reason : undefined)
    return answer
  }

  /** A call that was cancelled tells nothing of its endpoint. */
  #recordOutcome ({ guard, run }: OpenedCall, answer: Result<ServiceResponse, AttemptFailure>, signal: AbortSignal): void {
    if (answer.err) return signal.aborted ? undefined : guard.recordFailure(run, answer.val)
    if (answer.val.status >= firstServerErrorStatus) run.recordOver()
    else run.recordAnswer(this.#dependencies.clock.now())
  }
}

/** What tracks a call while it runs. */
interface OpenedCall {
  readonly guard: CrashGuard
  readonly run: EndpointRun
  /** Aborted when the request is blocked and the run has not begun. */
  readonly blocked: AbortSignal
  readonly gate: AttemptGate
}

/** Prefixes the key with its organisation, because two organisations may use the same key. */
function serviceKeyOf (request: ServiceRequest): string | undefined {
  return request.idempotencyKey === undefined ? undefined : `${request.organisation.name}/${request.idempotencyKey}`
}

function requestHashOf (request: ServiceRequest): string {
  const hash = createHash('sha256')
  hash.update(`${request.service}\n${request.method}\n${request.path}\n${request.contentType ?? ''}\n`)
  hash.update(request.body ?? new Uint8Array())
  return hash.digest('hex')
}

function storedAnswerOf (answer: ServiceResponse): StoredAnswer {
  return { status: answer.status, contentType: answer.contentType, body: Buffer.from(answer.body).toString('base64') }
}

/** A service has no way to state that it has not run a call, so its status must not promise that. */
function withoutFalsePromise (answer: StoredAnswer): Result<StoredAnswer, Refusal> {
  if (!promisesNotRun(answer.status)) return Ok(answer)
  return Err(new Refusal(RefusalCode.EndpointFailed, RunState.Unknown, `the service answered with status ${answer.status}`, retryAfterSeconds))
}

function outcomeUnknown (): Refusal {
  return new Refusal(RefusalCode.OutcomeUnknown, RunState.Unknown, 'it is not known whether the call ran; repeat it with the same key to learn its outcome', 2)
}
