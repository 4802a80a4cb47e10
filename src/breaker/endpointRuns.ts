/**
 * Watches one gateway's runs at endpoints. When a run breaks off, its endpoint may have crashed or only
 * its connection; an endpoint that then refuses connections has crashed. Two things are reported of a crash:
 *
 * - the runs whose response had begun, the last ones first, for the prompt parts that they share with others.
 *   A run that has written for a while is no such suspect any more, and its prompt parts count as answered well;
 * - the requests that had been sent there and were not answered. A plain service shows nothing before its
 *   answer, so whether a run had begun can't be told. Runs that this gateway gave up are among them for a
 *   while, since the endpoint may still work on them; and it may be another gateway that saw the crash.
 */
import { type Clock, dropOldest, getOrCreate } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import type { SharedPrompt, SuspectRun } from './contract.ts'
import type { PromptBreaker } from './promptBreaker.ts'
import { type RunAtCrash, describeRuns, latestFirst, suspectRequestsAmong, suspectsAmong } from './runAtCrash.ts'

/** A prompt that lets its run write for this time does not crash its endpoint. */
const soundRunMilliseconds = 2_000
/** An endpoint may work on a run for this time after it was given up. */
const abandonedMilliseconds = 5_000
/** Number of runs that were given up and are remembered, the last ones. */
const maximumAbandoned = 1_024
/** Number of crashed incarnations that are remembered, so that each is checked once. */
const maximumExamined = 1_000

/** Whether nothing listens at an endpoint's address any more. */
export type CrashCheck = (address: string) => Promise<boolean>

export interface EndpointRunsOptions {
  /** This gateway's name. */
  readonly name: string
  readonly breaker: PromptBreaker
  readonly hasCrashed: CrashCheck
  /** Called when other gateways should be told what the breaker has learnt. */
  readonly onNews: () => void
  readonly clock: Clock
  readonly log: Log
}

/** A run that is about to be sent to an endpoint. */
export interface RunDescription {
  /** The endpoint's incarnation, or its name if incarnations can't be told apart. */
  readonly instance: string
  /** Whether the endpoint may crash again under the same `instance`; false by default. */
  readonly mayRecur?: boolean
  /** `IP:port` of the endpoint. */
  readonly address: string
  readonly prompt: SharedPrompt
  /** Called when the prompt is blocked while its run has not begun. */
  readonly cancel: () => void
}

/** One run in progress. */
export class EndpointRun {
  readonly description: RunDescription
  readonly #runs: EndpointRuns
  #sentAt: number | undefined
  #begunAt: number | undefined
  #isSound = false
  #isOver = false

  constructor (description: RunDescription, runs: EndpointRuns) {
    this.description = description
    this.#runs = runs
  }

  /** When its request was sent; undefined before. */
  get sentAt (): number | undefined {
    return this.#sentAt
  }

  /** When its response began; undefined before. */
  get begunAt (): number | undefined {
    return this.#begunAt
  }

  /** Whether the endpoint may be working on it. */
  get mayBeRunning (): boolean {
    return this.#sentAt !== undefined && !this.#isOver
  }

  /** Records that its request is being sent; its endpoint has accepted a connection. */
  recordSent (now: number): void {
    if (this.#sentAt !== undefined) return
    this.#sentAt = now
    this.#runs.recordLife(this.description)
  }

  /** Records that a part of the response has arrived. */
  recordOutput (now: number): void {
    this.recordSent(now)
    this.#begunAt ??= now
    if (now - this.#begunAt < soundRunMilliseconds || this.#isSound) return
    this.#isSound = true
    this.#runs.recordAnswer({ ...this.description.prompt, request: undefined }, now)
  }

  /** Records that the response was good and whole. */
  recordAnswer (now: number): void {
    this.#isSound = true
    this.#isOver = true
    this.#runs.recordAnswer(this.description.prompt, now)
  }

  /** Records that the endpoint has outlived the run without a good answer: it failed the request, or did not run it. */
  recordOver (): void {
    this.#isOver = true
  }

  /**
   * Records that the endpoint broke the run off.
   *
   * @returns whether the run may be the cause
   */
  recordBreak (now: number): boolean {
    this.#runs.examine(this.description, now)
    return this.mayBeRunning && !this.#isSound
  }

  /** Records that the endpoint refused a connection for the request. */
  recordRefusal (now: number): void {
    if (this.#runs.hasAbandonedAt(this.description.instance, now)) this.#runs.examine(this.description, now)
  }

  /** To be called when the run has ended, however it did. */
  close (): void {
    this.#runs.close(this)
  }

  /** The run as a suspect for the prompt parts that it shares; undefined if it is none. */
  get suspect (): SuspectRun | undefined {
    if (this.#isSound || this.#begunAt === undefined) return undefined
    const { organisation, parts } = this.description.prompt
    return { prompt: { organisation, parts }, begunAt: this.#begunAt }
  }
}

/** A run that was given up while its endpoint may have worked on it. */
interface AbandonedRun {
  readonly instance: string
  readonly run: RunAtCrash
  readonly abandonedAt: number
}

/**
 * @example
 * const run = runs.open({ instance, address, prompt, cancel: () => exchange.abort('blocked') })
 * run.recordSent(clock.now())
 * run.recordOutput(clock.now())
 * run.close()
 */
export class EndpointRuns {
  readonly #options: EndpointRunsOptions
  readonly #open = new Map<string, Set<EndpointRun>>()
  readonly #abandoned = new Set<AbandonedRun>()
  /** Instances that have crashed, or may have and are being looked at. */
  readonly #examined = new Set<string>()
  /** Crashes seen of instances that may crash again. */
  readonly #recurrences = new Map<string, number>()

  constructor (options: EndpointRunsOptions) {
    this.#options = options
  }

  /** Adds a run that is about to be sent. */
  open (description: RunDescription): EndpointRun {
    const run = new EndpointRun(description, this)
    getOrCreate(this.#open, description.instance, () => new Set<EndpointRun>()).add(run)
    return run
  }

  /** Cancels runs of blocked prompts that have not begun; a run that has begun is past help. */
  cancelBlocked (now: number): void {
    const waiting = [...this.#open.values()].flatMap(runs => [...runs].filter(({ begunAt }) => begunAt === undefined))
    for (const { description } of waiting) {
      if (this.#options.breaker.isBlocked(description.prompt, now)) description.cancel()
    }
  }

  /** Acts on what other gateways have told: cancels runs of blocked prompts, and reports runs that were given up at crashed endpoints. */
  followNews (now: number): void {
    this.cancelBlocked(now)
    this.#reportAbandoned(now)
  }

  recordAnswer (prompt: SharedPrompt, now: number): void {
    if (this.#options.breaker.recordAnswer(prompt, now)) this.#options.onNews()
  }

  close (run: EndpointRun): void {
    const { instance } = run.description
    const runs = this.#open.get(instance)
    runs?.delete(run)
    if (runs?.size === 0) this.#open.delete(instance)
    if (!run.mayBeRunning) return
    this.#abandoned.add({ instance, run: atCrash(run), abandonedAt: this.#options.clock.now() })
    dropOldest(this.#abandoned, maximumAbandoned)
  }

  /** Records that an endpoint has accepted a connection; one that may crash again under its name is back. */
  recordLife ({ instance, mayRecur = false }: RunDescription): void {
    if (mayRecur) this.#examined.delete(instance)
  }

  /** Whether an endpoint may still work on runs that were given up. */
  hasAbandonedAt (instance: string, now: number): boolean {
    return this.#abandonedAt(instance, now).length > 0
  }

  /** Looks into the end of a run; all runs at the endpoint end at that moment if it has crashed. */
  examine (description: RunDescription, now: number): void {
    const { instance } = description
    if (!this.#startExamining(instance)) return
    const { log } = this.#options
    this.#reportIfCrashed(description, this.#runsAt(instance, now), now).catch(error => log.error('crash_check_failed', { endpoint: instance, reason: String(error) }))
  }

  /** Reports the runs that were given up at endpoints of which another gateway has told that they crashed. */
  #reportAbandoned (now: number): void {
    for (const [instance, crashedAt] of this.#options.breaker.knownCrashes()) {
      const seesCrashItself = this.#examined.has(instance) || this.#open.has(instance)
      if (seesCrashItself || !this.hasAbandonedAt(instance, now)) continue
      this.#startExamining(instance)
      this.#report({ instance }, this.#runsAt(instance, now), crashedAt)
    }
  }

  /** Returns whether an incarnation is to be examined, which it is once. */
  #startExamining (instance: string): boolean {
    if (this.#examined.has(instance)) return false
    this.#examined.add(instance)
    dropOldest(this.#examined, maximumExamined)
    return true
  }

  async #reportIfCrashed ({ instance, address, mayRecur }: RunDescription, runs: readonly RunAtCrash[], crashedAt: number): Promise<void> {
    if (await this.#options.hasCrashed(address)) this.#report({ instance, mayRecur }, runs, crashedAt)
    else this.#examined.delete(instance)
  }

  #report ({ instance, mayRecur }: Pick<RunDescription, 'instance' | 'mayRecur'>, runs: readonly RunAtCrash[], crashedAt: number): void {
    const { breaker, clock, log, name, onNews } = this.#options
    log.warn('endpoint_crashed', { endpoint: instance, running: runs.length, runs: describeRuns(runs, crashedAt) })
    const [suspects, requests] = [suspectsAmong(runs), suspectRequestsAmong(runs, prompt => breaker.isSuspect(prompt))]
    if (suspects.length === 0 && requests.length === 0) return
    breaker.recordCrash({ instance, reporter: name, crashedAt, runs: suspects, requests, recurrence: mayRecur ? this.#countCrash(instance) : undefined }, clock.now())
    onNews()
  }

  /** Counts a crash of an instance; returns how many were seen before. */
  #countCrash (instance: string): number {
    const before = this.#recurrences.get(instance) ?? 0
    this.#recurrences.set(instance, before + 1)
    dropOldest(this.#recurrences, maximumExamined)
    return before
  }

  /** The runs at an endpoint now, and those that were given up there. */
  #runsAt (instance: string, now: number): readonly RunAtCrash[] {
    const running = [...this.#open.get(instance) ?? []].filter(({ mayBeRunning }) => mayBeRunning)
    return [...running.map(atCrash), ...this.#abandonedAt(instance, now)].sort(latestFirst)
  }

  #abandonedAt (instance: string, now: number): readonly RunAtCrash[] {
    for (const run of this.#abandoned) {
      if (run.abandonedAt >= now - abandonedMilliseconds) break
      this.#abandoned.delete(run)
    }
    return [...this.#abandoned].filter(run => run.instance === instance).map(({ run }) => run)
  }
}

function atCrash ({ description, sentAt, begunAt, suspect }: EndpointRun): RunAtCrash {
  return { prompt: description.prompt, sentAt: sentAt ?? Number.NEGATIVE_INFINITY, begunAt, suspect }
}
