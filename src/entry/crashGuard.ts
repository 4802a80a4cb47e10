/**
 * One request's side of the circuit breaker: whether it may be sent, what becomes of its runs, and whether it
 * may be sent once more after they broke off.
 */
import type { EndpointView } from '../choice/index.ts'
import { type BlockedPrompt, type EndpointRun, type EndpointRuns, type PromptBreaker, type SharedPrompt, isRequestPart } from '../breaker/index.ts'
import { type Clock, Refusal, RefusalCode, RunState } from '../contract/index.ts'
import { type AttemptFailure, DeliveryState } from '../endpoint/index.ts'

const millisecondsPerSecond = 1_000

export interface CrashGuardDependencies {
  readonly clock: Clock
  readonly breaker: PromptBreaker
  readonly runs: EndpointRuns
}

/** A run at an endpoint. */
export interface GuardedRun {
  readonly run: EndpointRun
  /** Aborted when the request is blocked and the run has not begun. */
  readonly blocked: AbortSignal
}

/**
 * @example
 * const guard = new CrashGuard(dependencies, sharedCallOf(request))
 * const refusal = guard.refusal()
 * const { run, blocked } = guard.open(view)
 */
export class CrashGuard {
  readonly #dependencies: CrashGuardDependencies
  readonly #prompt: SharedPrompt
  #crashedRuns = 0

  constructor (dependencies: CrashGuardDependencies, prompt: SharedPrompt) {
    this.#dependencies = dependencies
    this.#prompt = prompt
  }

  /** Why the request may not be sent to any endpoint now; undefined if it may be. Asked before each attempt. */
  refusal (): Refusal | undefined {
    const { breaker, clock } = this.#dependencies
    const admission = breaker.admit(this.#prompt, clock.now())
    return admission.ok ? undefined : refusalOf(admission.val)
  }

  /** Whether the request may be sent once more; not if its runs, or those of its repeats at any daemon, broke off too often. */
  get mayRepeat (): boolean {
    return this.#dependencies.breaker.mayRepeat(this.#prompt, this.#crashedRuns)
  }

  /** Opens a run at an endpoint. If the request is blocked while it waits there, the run's signal tells so. */
  open ({ endpoint, report }: EndpointView): GuardedRun {
    const instance = `${endpoint.name}@${report?.incarnation ?? 0}`
    const blocked = new AbortController()
    const run = this.#dependencies.runs.open({ instance, mayRecur: report === undefined, address: endpoint.address, prompt: this.#prompt, cancel: () => blocked.abort() })
    return { run, blocked: blocked.signal }
  }

  /** Records why a run gave no answer. */
  recordFailure (run: EndpointRun, { delivery }: AttemptFailure): void {
    if (delivery !== DeliveryState.PossiblySent) return run.recordOver()
    if (run.recordBreak(this.#dependencies.clock.now())) this.#crashedRuns++
  }
}

function refusalOf ({ part, retryAfterMilliseconds }: BlockedPrompt): Refusal {
  const retryAfterSeconds = retryAfterMilliseconds / millisecondsPerSecond
  if (isRequestPart(part)) return new Refusal(RefusalCode.RequestBlocked, RunState.NotRun, 'endpoints crashed when they were sent this request', retryAfterSeconds)
  return new Refusal(RefusalCode.PromptBlocked, RunState.NotRun, 'engines crashed when they answered prompts that begin like this one', retryAfterSeconds)
}
