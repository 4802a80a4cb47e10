/**
 * Runs a request on one version after the other: chooses an endpoint, sends an attempt, and retries on another
 * endpoint only if no text has been passed on and the attempt budget allows it. Before each send, in
 * the same event-loop turn, it checks again that the version is still allowed, because the settings
 * may have changed since the version was chosen.
 */
import {
  type ChatRequest, type Clock, invariant, type Randomness, Refusal, RefusalCode, RunState, type VersionName, Wait
} from '../contract/index.ts'
import { AttemptEnd, type AttemptBudget, type EndpointChoice, type EndpointPolicy, type EndpointRequest, type EndpointView } from '../choice/index.ts'
import type { EndpointRun, EndpointRuns, PromptBreaker } from '../breaker/index.ts'
import type { SettingsSource } from '../distribution/index.ts'
import { type AttemptFailure, type EngineChunk, type EngineClient, type EngineFinish, DeliveryState } from '../endpoint/index.ts'
import { formatTraceParent, type Metrics, type TraceContext, type Tracer } from '../observe/index.ts'
import type { CompletionLengthEstimator } from './completionLengthEstimator.ts'
import { type EndpointDirectory, acceptsRequests } from './endpointDirectory.ts'
import { type AttemptGate, type EndpointPlaces, placeRetrySeconds } from './endpointPlaces.ts'
import type { RollOutMonitor } from './rollOutMonitor.ts'
import { CrashGuard } from './crashGuard.ts'
import { furtherDelivery, refusalAfter, runStateAfter } from './deliveryOfAttempts.ts'
import { RequestRetries } from './requestRetries.ts'
import { sharedPromptOf } from './sharedPrompt.ts'

/** Events of a run: any number of chunks, then a finish or a refusal. */
export type AttemptEvent =
  | { readonly type: 'chunk', readonly chunk: EngineChunk }
  | { readonly type: 'finish', readonly finish: EngineFinish }
  | { readonly type: 'refused', readonly refusal: Refusal }

export interface AttemptRunnerDependencies {
  readonly clock: Clock
  readonly randomness: Randomness
  readonly settings: SettingsSource
  readonly directory: EndpointDirectory
  readonly endpoints: EndpointPolicy
  readonly places: EndpointPlaces
  readonly retries: AttemptBudget
  readonly engines: EngineClient
  readonly breaker: PromptBreaker
  readonly runs: EndpointRuns
  readonly rollOuts: RollOutMonitor
  readonly lengths: CompletionLengthEstimator
  readonly metrics: Metrics
  readonly tracer: Tracer
}

const defaultRetryAfterSeconds = 1

/** Sends the attempts of one request to engines and retries failed ones. */
export class AttemptRunner {
  readonly #dependencies: AttemptRunnerDependencies
  readonly #retries: RequestRetries

  constructor (dependencies: AttemptRunnerDependencies) {
    this.#dependencies = dependencies
    this.#retries = new RequestRetries(dependencies.retries, dependencies.clock.now())
  }

  /**
   * Runs a request on a version.
   *
   * @param signal aborted when the caller disconnects; cancels the engine's stream
   * @example
   * for await (const event of runner.run(request, 'small@3', session, parent, signal)) …
   */
  async * run (request: ChatRequest, version: VersionName, session: string | undefined, parent: TraceContext | undefined, signal: AbortSignal): AsyncGenerator<AttemptEvent> {
    const { clock, places } = this.#dependencies
    const arrivedAt = clock.now()
    const excluded = new Set<string>()
    const guard = new CrashGuard(this.#dependencies, sharedPromptOf(request))
    let delivery: DeliveryState = DeliveryState.NotSent
    for (;;) {
      const refusal = this.#refusalBeforeSend(request, version) ?? guard.refusal()
      if (refusal !== undefined) return yield { type: 'refused', refusal: refusalAfter(delivery, refusal) }
      const views = this.#dependencies.directory.engines(version)
      const usedUp = places.withoutPlace(version, views).filter(name => !excluded.has(name))
      const endpointRequest = this.#endpointRequest(request, version, session, new Set([...excluded, ...usedUp]))
      const choice = this.#dependencies.endpoints.choose(endpointRequest, views, clock.now())
      if (choice.err && usedUp.length > 0 && choice.val.code === RefusalCode.NoEndpoint) {
        const turn = await this.#waitForPlace(request, version, excluded, arrivedAt, signal)
        if (turn !== undefined) return yield { type: 'refused', refusal: refusalAfter(delivery, turn) }
        continue
      }
      if (choice.err) return yield { type: 'refused', refusal: refusalAfter(delivery, choice.val) }
      const view = viewOf(views, choice.val)
      const { run, blocked } = guard.open(view)
      const gate = places.open(version, view, () => run.recordSent(clock.now()))
      const failedAttempt = yield * this.#runAttempt(request, endpointRequest, choice.val, { guard, run, gate }, parent, AbortSignal.any([signal, blocked]))
      if (failedAttempt === undefined) return
      if (gate.wasHeldBack) continue
      delivery = furtherDelivery(delivery, failedAttempt.failure.delivery)
      if (failedAttempt.hadOutput) return yield { type: 'refused', refusal: answerCutOff(failedAttempt.failure) }
      excluded.add(choice.val.endpoint.name)
      const mayRetry = guard.mayRepeat && !signal.aborted && clock.now() < request.deadline && this.#retries.tryTake(clock.now())
      if (!mayRetry) return yield { type: 'refused', refusal: endpointFailed(delivery, failedAttempt.failure) }
    }
  }

  /** Waits for a place at an engine whose rate limit is used up; returns a refusal if none comes in time. */
  async #waitForPlace (request: ChatRequest, version: VersionName, excluded: ReadonlySet<string>, arrivedAt: number, signal: AbortSignal): Promise<Refusal | undefined> {
    const { directory, places } = this.#dependencies
    const { organisation, priority, deadline } = request
    const views = () => directory.engines(version).filter(view => acceptsRequests(view) && !excluded.has(view.endpoint.name))
    const turn = await places.wait(version, views, { organisation, priority, arrivedAt, deadline, signal })
    if (turn.ok) return undefined
    return new Refusal(RefusalCode.Overloaded, RunState.NotRun, `the rate limits of all endpoints that have ${version} are used up`, placeRetrySeconds(turn.val))
  }

  /** Yields the attempt's chunks and its finish; returns the failure if it failed. */
  async * #runAttempt (request: ChatRequest, endpointRequest: EndpointRequest, choice: EndpointChoice, { guard, run, gate }: OpenedAttempt, parent: TraceContext | undefined, signal: AbortSignal): AsyncGenerator<AttemptEvent, FailedAttempt | undefined> {
    const { clock, metrics, settings, tracer } = this.#dependencies
    const span = tracer.startSpan('attempt', 'client', parent)
    span.setAttribute('endpoint', choice.endpoint.name)
    span.setAttribute('version', endpointRequest.version)
    invariant(settings.view.allows(request.organisation, endpointRequest.version), 'an attempt runs an allowed version',
      () => ({ organisation: request.organisation, version: endpointRequest.version, revision: settings.view.revision }))
    const wait = new Wait(clock)
    const sentAt = wait.since
    const timedRuns = this.#dependencies.rollOuts.openRuns(endpointRequest.version, request.kind, sentAt)
    const openAttempt = this.#dependencies.endpoints.open(endpointRequest, choice, sentAt)
    let firstTokenMilliseconds: number | undefined
    let completionTokens = 0
    let end: AttemptEnd = AttemptEnd.Cancelled
    try {
      const call = { ...this.#engineCall(request, endpointRequest.version, formatTraceParent(span.context)), gate }
      for await (const event of this.#dependencies.engines.generate(choice.endpoint, call, signal)) {
        if (event.type === 'failure') {
          end = signal.aborted || gate.wasHeldBack ? AttemptEnd.Cancelled : AttemptEnd.Failed
          if (end === AttemptEnd.Failed) guard.recordFailure(run, event.failure)
          return { failure: event.failure, hadOutput: completionTokens > 0 }
        }
        if (event.type === 'finish') {
          end = AttemptEnd.Answered
          run.recordAnswer(clock.now())
          for (const timed of timedRuns) timed.finish(clock.now())
          this.#dependencies.lengths.observe(request.kind, event.finish.usage.completionTokens)
          yield { type: 'finish', finish: event.finish }
          return undefined
        }
        if (firstTokenMilliseconds === undefined) {
          firstTokenMilliseconds = wait.heardMilliseconds
          openAttempt.recordFirstToken(clock.now())
          for (const timed of timedRuns) timed.recordBegin(clock.now())
        } else {
          for (const timed of timedRuns) timed.recordEvents(event.chunk.tokens, clock.now())
        }
        run.recordOutput(clock.now())
        completionTokens += event.chunk.tokens
        yield event
      }
      invariant(false, 'an engine stream ends with a finish or a failure', () => ({ endpoint: choice.endpoint.name }))
    } finally {
      run.close()
      gate.close()
      if (end !== AttemptEnd.Answered) for (const timed of timedRuns) timed.abandon(clock.now())
      openAttempt.close({ end, firstTokenMilliseconds, completionTokens }, clock.now())
      metrics.attempts.inc({ endpoint: choice.endpoint.name, end })
      span.end(end === AttemptEnd.Failed ? 'the attempt failed' : undefined)
    }
  }

  #refusalBeforeSend (request: ChatRequest, version: VersionName): Refusal | undefined {
    const { clock, settings } = this.#dependencies
    if (clock.now() >= request.deadline) return new Refusal(RefusalCode.DeadlineExceeded, RunState.NotRun, 'the deadline of the request has passed')
    if (settings.view.allows(request.organisation, version)) return undefined
    return new Refusal(RefusalCode.ModelNotFound, RunState.NotRun, `version ${version} is no longer available to this organisation`)
  }

  #endpointRequest (request: ChatRequest, version: VersionName, session: string | undefined, excluded: ReadonlySet<string>): EndpointRequest {
    return {
      id: request.id,
      organisation: request.organisation,
      version,
      prefixKey: request.prefixKey,
      session,
      promptTokens: request.promptTokens,
      expectedCompletionTokens: this.#dependencies.lengths.expected(request.kind, request.maximumTokens),
      priority: request.priority,
      remainingMilliseconds: request.deadline - this.#dependencies.clock.now(),
      excludedEndpoints: excluded
    }
  }

  #engineCall (request: ChatRequest, version: VersionName, traceParent: string | undefined) {
    return {
      attemptId: this.#dependencies.randomness.identifier(),
      version,
      messages: request.messages,
      maximumTokens: request.maximumTokens,
      priority: request.priority,
      prefixKey: request.prefixKey,
      traceParent
    }
  }
}

/** What tracks an attempt while it runs. */
interface OpenedAttempt {
  readonly guard: CrashGuard
  readonly run: EndpointRun
  readonly gate: AttemptGate
}

interface FailedAttempt {
  readonly failure: AttemptFailure
  readonly hadOutput: boolean
}

function viewOf (views: readonly EndpointView[], { endpoint }: EndpointChoice): EndpointView {
  const view = views.find(candidate => candidate.endpoint.name === endpoint.name)
  invariant(view !== undefined, 'a chosen endpoint is among the candidates', () => ({ endpoint: endpoint.name }))
  return view
}

function endpointFailed (delivery: DeliveryState, failure: AttemptFailure): Refusal {
  return new Refusal(RefusalCode.EndpointFailed, runStateAfter(delivery), failure.reason, failure.retryAfterSeconds ?? defaultRetryAfterSeconds)
}

function answerCutOff (failure: AttemptFailure): Refusal {
  return new Refusal(RefusalCode.AnswerCutOff, RunState.Ran, `the answer is incomplete: ${failure.reason}`, defaultRetryAfterSeconds)
}
