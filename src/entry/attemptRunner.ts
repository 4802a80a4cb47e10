/**
 * Runs one version of a request: chooses an endpoint, sends an attempt, and tries another endpoint
 * only while no text has been let go and the attempt budget allows. Right before each send, in the
 * same turn of the event loop, it looks again whether the version may still be used: the settings may
 * have changed between the choice and the send.
 */
import {
  type ChatRequest, type Clock, invariant, type Randomness, Refusal, RefusalCode, RunState, type VersionName
} from '../contract/index.ts'
import { AttemptEnd, type AttemptBudget, type EndpointChoice, type EndpointPolicy, type EndpointRequest } from '../choice/index.ts'
import type { SettingsSource } from '../distribution/index.ts'
import { type AttemptFailure, type EngineChunk, type EngineClient, type EngineFinish, Reach } from '../endpoint/index.ts'
import { formatTraceParent, type Metrics, type TraceContext, type Tracer } from '../observe/index.ts'
import type { CompletionLengths } from './completionLengths.ts'
import type { EndpointDirectory } from './endpointDirectory.ts'
import { furtherReach, refusalAfter, runStateAfter } from './reachOfAttempts.ts'

/** What a version's run yields: pieces, and last a finish or a refusal. */
export type AttemptEvent =
  | { readonly type: 'chunk', readonly chunk: EngineChunk }
  | { readonly type: 'finish', readonly finish: EngineFinish }
  | { readonly type: 'refused', readonly refusal: Refusal }

/** What the runner works with. */
export interface AttemptParts {
  readonly clock: Clock
  readonly randomness: Randomness
  readonly settings: SettingsSource
  readonly directory: EndpointDirectory
  readonly endpoints: EndpointPolicy
  readonly retries: AttemptBudget
  readonly engines: EngineClient
  readonly lengths: CompletionLengths
  readonly metrics: Metrics
  readonly tracer: Tracer
}

/** Attempts besides the first that one request may use, whatever the budget holds. */
const furtherAttempts = 2
const comeBackSeconds = 1

/** Sends attempts at engines. */
export class AttemptRunner {
  readonly #parts: AttemptParts

  constructor (parts: AttemptParts) {
    this.#parts = parts
  }

  /**
   * Runs a version of a request.
   *
   * @param signal the caller left: the engine's stream is cancelled
   * @example
   * for await (const event of runner.run(request, 'small@3', session, parent, signal)) …
   */
  async * run (request: ChatRequest, version: VersionName, session: string | undefined, parent: TraceContext | undefined, signal: AbortSignal): AsyncGenerator<AttemptEvent> {
    const { clock, retries } = this.#parts
    const excluded = new Set<string>()
    let reach: Reach = Reach.Never
    retries.recordFirstAttempt(clock.now())
    for (let attempt = 0; ; attempt++) {
      const wanted = this.#endpointRequest(request, version, session, excluded)
      const refusal = this.#refusalBeforeSend(request, version)
      if (refusal !== undefined) return yield { type: 'refused', refusal: refusalAfter(reach, refusal) }
      const choice = this.#parts.endpoints.choose(wanted, this.#parts.directory.engines(version), clock.now())
      if (choice.err) return yield { type: 'refused', refusal: refusalAfter(reach, choice.val) }
      const end = yield * this.#attempt(request, wanted, choice.val, parent, signal)
      if (end === undefined) return
      reach = furtherReach(reach, end.failure.reach)
      if (end.hadText) return yield { type: 'refused', refusal: cutOff(end.failure) }
      excluded.add(choice.val.endpoint.name)
      const mayRetry = attempt < furtherAttempts && !signal.aborted && clock.now() < request.deadline && retries.tryAcquire(clock.now())
      if (!mayRetry) return yield { type: 'refused', refusal: failed(reach, end.failure) }
    }
  }

  /** Yields an attempt's pieces and its finish; returns its failure, if it failed. */
  async * #attempt (request: ChatRequest, wanted: EndpointRequest, choice: EndpointChoice, parent: TraceContext | undefined, signal: AbortSignal): AsyncGenerator<AttemptEvent, FailedAttempt | undefined> {
    const { clock, metrics, settings, tracer } = this.#parts
    const span = tracer.start('attempt', 'client', parent)
    span.set('endpoint', choice.endpoint.name)
    span.set('version', wanted.version)
    invariant(settings.view.allows(request.organisation, wanted.version), 'an attempt runs an allowed version',
      () => ({ organisation: request.organisation, version: wanted.version, revision: settings.view.revision }))
    const sentAt = clock.now()
    const open = this.#parts.endpoints.open(wanted, choice, sentAt)
    let firstTokenMilliseconds: number | undefined
    let tokens = 0
    let end: AttemptEnd = AttemptEnd.Cancelled
    try {
      const call = this.#engineCall(request, wanted.version, formatTraceParent(span.context))
      for await (const event of this.#parts.engines.generate(choice.endpoint, call, signal)) {
        if (event.type === 'failure') {
          end = signal.aborted ? AttemptEnd.Cancelled : AttemptEnd.Failed
          return { failure: event.failure, hadText: tokens > 0 }
        }
        if (event.type === 'finish') {
          end = AttemptEnd.Answered
          this.#parts.lengths.observe(request.kind, event.finish.usage.completionTokens)
          yield { type: 'finish', finish: event.finish }
          return undefined
        }
        if (firstTokenMilliseconds === undefined) {
          firstTokenMilliseconds = clock.now() - sentAt
          open.recordFirstToken(clock.now())
        }
        tokens += event.chunk.tokens
        yield event
      }
      invariant(false, 'an engine stream ends with a finish or a failure', () => ({ endpoint: choice.endpoint.name }))
    } finally {
      open.close({ end, firstTokenMilliseconds, completionTokens: tokens }, clock.now())
      metrics.attempts.inc({ endpoint: choice.endpoint.name, end })
      span.end(end === AttemptEnd.Failed ? 'the attempt failed' : undefined)
    }
  }

  #refusalBeforeSend (request: ChatRequest, version: VersionName): Refusal | undefined {
    const { clock, settings } = this.#parts
    if (clock.now() >= request.deadline) return new Refusal(RefusalCode.DeadlineExceeded, RunState.NotRun, 'the deadline passed')
    if (settings.view.allows(request.organisation, version)) return undefined
    return new Refusal(RefusalCode.ModelNotFound, RunState.NotRun, `${version} may no longer be used`)
  }

  #endpointRequest (request: ChatRequest, version: VersionName, session: string | undefined, excluded: ReadonlySet<string>): EndpointRequest {
    return {
      id: request.id,
      organisation: request.organisation,
      version,
      prefixKey: request.prefixKey,
      session,
      promptTokens: request.promptTokens,
      expectedCompletionTokens: this.#parts.lengths.expected(request.kind, request.maximumTokens),
      priority: request.priority,
      remainingMilliseconds: request.deadline - this.#parts.clock.now(),
      excludedEndpoints: excluded
    }
  }

  #engineCall (request: ChatRequest, version: VersionName, traceParent: string | undefined) {
    return {
      attemptId: this.#parts.randomness.identifier(),
      version,
      messages: request.messages,
      maximumTokens: request.maximumTokens,
      priority: request.priority,
      prefixKey: request.prefixKey,
      traceParent
    }
  }
}

interface FailedAttempt {
  readonly failure: AttemptFailure
  readonly hadText: boolean
}

function failed (reach: Reach, failure: AttemptFailure): Refusal {
  return new Refusal(RefusalCode.EndpointFailed, runStateAfter(reach), failure.reason, failure.retryAfterSeconds ?? comeBackSeconds)
}

function cutOff (failure: AttemptFailure): Refusal {
  return new Refusal(RefusalCode.AnswerCutOff, RunState.Ran, `the answer is not whole: ${failure.reason}`, comeBackSeconds)
}
