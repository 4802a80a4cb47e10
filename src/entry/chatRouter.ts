/**
 * Routes a chat completion: selects the allowed versions, plans, admits, runs attempts, bills and
 * responds. The end of an answer is sent only after its bill entry is durable. The text of a streamed
 * answer is sent before that, because callers treat an answer as complete only at its end.
 */
import {
  attemptCost, promptTokensPerGeneratedToken, type ChatRequest, type Clock, Err, hashFraction, invariant, Ok, Priority, type Randomness, Refusal, RefusalCode, type Result, RunState, type VersionName
} from '../contract/index.ts'
import type { BillEntry, Ledger } from '../billing/index.ts'
import type { Admission, PlanStep, VersionPlan } from '../choice/index.ts'
import type { EngineFinish } from '../endpoint/index.ts'
import type { TraceContext } from '../observe/index.ts'
import type { Session, SessionTokens } from '../session/index.ts'
import type { OrganisationView } from '../settings/index.ts'
import type { AnswerEvent } from './answer.ts'
import { AnswerRater, type EarlierRating, ratingCost, type AnswerRaterDependencies } from './answerRater.ts'
import { type AttemptRunnerDependencies, AttemptRunner } from './attemptRunner.ts'
import type { PoolAdmission } from './poolAdmission.ts'
import { versionOfSession, versionsForNewRequest } from './versionSelection.ts'

/** Whether a request outside a session starts one. */
export const SessionRequest = {
  None: 'none',
  /** Start a session and return its token. */
  Start: 'start'
} as const
export type SessionRequest = typeof SessionRequest[keyof typeof SessionRequest]

/** An authenticated, validated request for a chat completion. */
export interface ChatCall {
  readonly request: ChatRequest
  readonly organisation: OrganisationView
  /** The session to continue, or whether to start one. */
  readonly session: Session | SessionRequest
  /** Identifies the request in billing; the same for all repeats with one idempotency key. */
  readonly billId: string
  readonly parent: TraceContext | undefined
}

export interface ChatRouterDependencies extends AttemptRunnerDependencies, AnswerRaterDependencies {
  readonly clock: Clock
  readonly randomness: Randomness
  readonly admission: PoolAdmission
  readonly ledger: Ledger
  readonly sessions: SessionTokens
}

/** A request while it is answered. */
interface RunningCall extends ChatCall {
  /** Sends its attempts, of all steps of its plan. */
  readonly attempts: AttemptRunner
}

/** A step's complete answer, held until it is rated. */
interface BufferedAnswer {
  readonly text: string
  readonly finish: EngineFinish
}

/** Answers chat completions according to the version policy's plan. */
export class ChatRouter {
  readonly #dependencies: ChatRouterDependencies
  readonly #rater: AnswerRater

  constructor (dependencies: ChatRouterDependencies) {
    this.#dependencies = dependencies
    this.#rater = new AnswerRater(dependencies)
  }

  /**
   * Answers a request. The last event is `finished` or `refused`. Aborting `signal` or returning the
   * generator cancels the engine's stream.
   *
   * @example
   * for await (const event of router.answer(call, signal)) write(event)
   */
  async * answer (call: ChatCall, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    const session = this.#sessionFor(call)
    const plan = this.#plan(call, session?.id)
    if (plan.err) return yield refusedEvent(plan.val)
    const [first] = plan.val.steps
    invariant(first !== undefined, 'a plan has a step', () => ({ request: call.request.id }))
    const admission = this.#admit(call, first.version)
    if (admission.err) return yield refusedEvent(admission.val)
    try {
      const admitted = admission.val.withinShare ? call : withBackgroundPriority(call)
      yield * this.#runPlan({ ...admitted, attempts: new AttemptRunner(this.#dependencies) }, plan.val, session, signal)
    } finally {
      admission.val.close()
    }
  }

  /** Runs the steps of a plan until an answer is released. */
  async * #runPlan (call: RunningCall, plan: VersionPlan, session: { readonly id: string } | undefined, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    const earlierRatings: EarlierRating[] = []
    let extraCost = 0
    let skipsNext = false
    let hasRun = false
    for (const [index, step] of plan.steps.entries()) {
      const isLast = index === plan.steps.length - 1
      if (skipsNext && !isLast) {
        skipsNext = false
        continue
      }
      if (isLast || step.releaseAtRating === undefined) {
        for await (const event of this.#streamStep(call, step, session, extraCost, signal)) yield hasRun ? withRanInsteadOfNotRun(event) : event
        return
      }
      const buffered = await this.#bufferStep(call, step, signal)
      if (buffered.err) return yield hasRun ? withRanInsteadOfNotRun(refusedEvent(buffered.val)) : refusedEvent(buffered.val)
      hasRun = true
      const rating = await this.#rater.rate(call.request, step.version, buffered.val.text, earlierRatings)
      extraCost += ratingCost
      if (rating !== undefined && shouldRelease(step, step.releaseAtRating, rating)) {
        yield * this.#releaseBuffered(call, step.version, session, buffered.val, extraCost)
        return
      }
      if (rating !== undefined) earlierRatings.push({ version: step.version, rating })
      skipsNext = rating !== undefined && step.skipNextBelowRating !== undefined && rating < step.skipNextBelowRating
      extraCost += this.#costOf(step.version, buffered.val.finish)
    }
  }

  #admit (call: ChatCall, version: VersionName): Result<Admission, Refusal> {
    const { admission, clock, directory, endpoints, settings } = this.#dependencies
    const admissionRequest = {
      organisation: call.organisation.name,
      share: call.organisation.settings.share,
      totalShares: settings.view.totalShare,
      priority: call.request.priority,
      work: this.#expectedTokens(call) + call.request.promptTokens / promptTokensPerGeneratedToken
    }
    return admission.admit(version, admissionRequest, endpoints.pressure(version, directory.engines(version)), clock.now())
  }

  #expectedTokens (call: ChatCall): number {
    return this.#dependencies.lengths.expected(call.request.kind, call.request.maximumTokens)
  }

  #sessionFor (call: ChatCall): { readonly id: string, readonly pinned: Session | undefined } | undefined {
    if (call.session === SessionRequest.None) return undefined
    if (call.session === SessionRequest.Start) return { id: this.#dependencies.randomness.identifier(), pinned: undefined }
    return { id: call.session.id, pinned: call.session }
  }

  #plan (call: ChatCall, sessionId: string | undefined): Result<VersionPlan, Refusal> {
    const { clock, directory, settings, versions } = this.#dependencies
    const allowed = this.#allowedVersions(call, sessionId)
    if (allowed.err) return allowed
    // Refuse before anything runs if no session token can be issued afterwards.
    const [anyVersion] = allowed.val
    const token = sessionId === undefined || anyVersion === undefined ? undefined : this.#issueToken(call, sessionId, anyVersion)
    if (token?.err) return token
    const candidates = allowed.val.flatMap(name => {
      const version = settings.view.versions.get(name)
      return version === undefined ? [] : [{ name, price: version.price, available: directory.isVersionAvailable(name) }]
    })
    const { request, organisation } = call
    return versions.plan({
      organisation: organisation.name,
      kind: request.kind,
      pinnedVersion: isPinned(call.session) ? call.session.version : undefined,
      streamed: request.streamed,
      promptTokens: request.promptTokens,
      expectedCompletionTokens: this.#expectedTokens(call),
      difficultyHint: request.difficultyHint,
      remainingMilliseconds: request.deadline - clock.now(),
      qualityTarget: organisation.settings.quality_target,
      opensSession: call.session === SessionRequest.Start
    }, candidates, clock.now())
  }

  #allowedVersions (call: ChatCall, sessionId: string | undefined): Result<VersionName[], Refusal> {
    const { rollOuts, settings } = this.#dependencies
    if (isPinned(call.session)) {
      const version = versionOfSession(settings.view, call.organisation, call.session)
      return version.ok ? Ok([version.val]) : Err(version.val)
    }
    return versionsForNewRequest(settings, call.organisation, call.request.model, hashFraction(sessionId ?? call.billId), version => rollOuts.isStopped(version))
  }

  /** Passes text on as it arrives. */
  async * #streamStep (call: RunningCall, step: PlanStep, session: { readonly id: string } | undefined, extraCost: number, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    let text = ''
    let hasStarted = false
    for await (const event of call.attempts.run(call.request, step.version, session?.id, call.parent, signal)) {
      if (event.type === 'refused') {
        if (event.refusal.run !== RunState.NotRun) this.#rater.observeFailure(call.request, step.version)
        return yield refusedEvent(event.refusal)
      }
      if (!hasStarted) {
        const start = this.#startEvent(call, step.version, session)
        yield start
        if (start.type === 'refused') return
        hasStarted = true
      }
      if (event.type === 'chunk') {
        text += event.chunk.text
        yield { type: 'text', text: event.chunk.text }
        continue
      }
      yield await this.#billAndFinish(call, step.version, event.finish, extraCost)
      if (step.rateAfterwards) this.#rater.rateInBackground(call.request, step.version, text)
    }
  }

  /** Buffers a step's answer so that it can be rated before its release. */
  async #bufferStep (call: RunningCall, step: PlanStep, signal: AbortSignal): Promise<Result<BufferedAnswer, Refusal>> {
    let text = ''
    for await (const event of call.attempts.run(call.request, step.version, undefined, call.parent, signal)) {
      if (event.type === 'refused') {
        if (event.refusal.run !== RunState.NotRun) this.#rater.observeFailure(call.request, step.version)
        return Err(event.refusal)
      }
      if (event.type === 'finish') return Ok({ text, finish: event.finish })
      text += event.chunk.text
    }
    return Err(new Refusal(RefusalCode.EndpointFailed, RunState.Unknown, 'the attempt was cancelled'))
  }

  async * #releaseBuffered (call: ChatCall, version: VersionName, session: { readonly id: string } | undefined, buffered: BufferedAnswer, extraCost: number): AsyncGenerator<AnswerEvent> {
    const start = this.#startEvent(call, version, session)
    yield start
    if (start.type === 'refused') return
    yield { type: 'text', text: buffered.text }
    yield await this.#billAndFinish(call, version, buffered.finish, extraCost)
  }

  #startEvent (call: ChatCall, version: VersionName, session: { readonly id: string } | undefined): AnswerEvent {
    if (session === undefined) return { type: 'started', version, sessionToken: undefined }
    invariant(!isPinned(call.session) || call.session.version === version, 'a session keeps its version',
      () => ({ session: session.id, version }))
    const token = this.#issueToken(call, session.id, version)
    if (token.ok) return { type: 'started', version, sessionToken: token.val }
    return refusedEvent(new Refusal(token.val.code, RunState.Ran, token.val.message, token.val.retryAfterSeconds))
  }

  #issueToken (call: ChatCall, sessionId: string, version: VersionName): Result<string, Refusal> {
    const { clock, sessions } = this.#dependencies
    return sessions.issue({ id: sessionId, organisation: call.organisation.name, version, issuedAt: clock.now() })
  }

  /** Records the bill entry, then returns the event that ends the answer. */
  async #billAndFinish (call: ChatCall, version: VersionName, finish: EngineFinish, extraCost: number): Promise<AnswerEvent> {
    const entry: BillEntry = {
      id: call.billId,
      organisation: call.organisation.name,
      kind: call.request.kind,
      version,
      service: undefined,
      usage: finish.usage,
      cost: this.#costOf(version, finish),
      extraCost,
      at: this.#dependencies.clock.now()
    }
    const recorded = await this.#dependencies.ledger.record(entry)
    if (recorded.err) {
      return refusedEvent(new Refusal(RefusalCode.StoreUnavailable, RunState.Ran, `the answer could not be billed: ${recorded.val.reason}`, 1))
    }
    const labels = { organisation: entry.organisation, kind: entry.kind }
    this.#dependencies.metrics.cost.inc({ ...labels, booking: 'billed' }, entry.cost)
    this.#dependencies.metrics.cost.inc({ ...labels, booking: 'extra' }, extraCost)
    return { type: 'finished', reason: finish.reason, usage: finish.usage }
  }

  #costOf (version: VersionName, finish: EngineFinish): number {
    return attemptCost(this.#dependencies.settings.view.versions.get(version)?.price ?? 0, finish.usage)
  }
}

/** Requests beyond their organisation's share run after those of other organisations. */
function withBackgroundPriority (call: ChatCall): ChatCall {
  return { ...call, request: { ...call.request, priority: Priority.Background } }
}

/** After an earlier step has run, a later refusal can't report `not_run`. */
function withRanInsteadOfNotRun (event: AnswerEvent): AnswerEvent {
  if (event.type !== 'refused' || event.refusal.run !== RunState.NotRun) return event
  const { code, message, retryAfterSeconds } = event.refusal
  return refusedEvent(new Refusal(code, RunState.Ran, message, retryAfterSeconds))
}

/** Releases an answer that is rated high enough, or so low that no later step is expected to improve on it enough. */
function shouldRelease (step: PlanStep, releaseAtRating: number, rating: number): boolean {
  return rating >= releaseAtRating || (step.releaseBelowRating !== undefined && rating < step.releaseBelowRating)
}

function isPinned (session: Session | SessionRequest): session is Session {
  return typeof session === 'object'
}

function refusedEvent (refusal: Refusal): AnswerEvent {
  return { type: 'refused', refusal }
}
