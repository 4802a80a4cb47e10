/**
 * Watches one gateway's runs at endpoints. When a run breaks off, its endpoint may have crashed or only
 * its connection; an endpoint that then refuses connections has crashed. The runs that had begun there are
 * reported, the last ones first; runs that waited for their turn did not crash it. A run that has written for a while is no suspect any more,
 * and its prompt counts as answered well.
 */
import { type Clock, dropOldest, getOrCreate } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import type { SharedPrompt, SuspectRun } from './contract.ts'
import type { PromptBreaker } from './promptBreaker.ts'

/** A prompt that lets its run write for this time does not crash its endpoint. */
const soundRunMilliseconds = 2_000
/** Number of runs in a report. */
const maximumSuspects = 4
/** Number of runs in a log line. */
const maximumLoggedRuns = 12
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
  /** The endpoint's incarnation. */
  readonly instance: string
  /** `IP:port` of the endpoint. */
  readonly address: string
  readonly prompt: SharedPrompt
  /** Called when the prompt is blocked while its run has not begun. */
  readonly cancel: () => void
}

/** One run in progress. */
export class EndpointRun {
  readonly description: RunDescription
  readonly openedAt: number
  readonly #runs: EndpointRuns
  #begunAt: number | undefined
  #isSound = false

  constructor (description: RunDescription, openedAt: number, runs: EndpointRuns) {
    this.description = description
    this.openedAt = openedAt
    this.#runs = runs
  }

  /** When its response began; undefined before. */
  get begunAt (): number | undefined {
    return this.#begunAt
  }

  /** Records that a part of the response has arrived. */
  recordOutput (now: number): void {
    this.#begunAt ??= now
    if (now - this.#begunAt >= soundRunMilliseconds) this.recordAnswer(now)
  }

  /** Records that the response was good and whole, or has gone on for long. */
  recordAnswer (now: number): void {
    if (this.#isSound) return
    this.#isSound = true
    this.#runs.recordAnswer(this, now)
  }

  /**
   * Records that the endpoint broke the run off.
   *
   * @returns whether the run may be the cause
   */
  recordBreak (now: number): boolean {
    this.#runs.examine(this, now)
    return this.#begunAt !== undefined && !this.#isSound
  }

  /** To be called when the run has ended, however it did. */
  close (): void {
    this.#runs.close(this)
  }

  /** The run as a suspect; undefined if it is none. */
  get suspect (): SuspectRun | undefined {
    if (this.#isSound || this.#begunAt === undefined) return undefined
    return { prompt: this.description.prompt, begunAt: this.#begunAt }
  }
}

/**
 * @example
 * const run = runs.open({ instance, address, prompt, cancel: () => exchange.abort('blocked') })
 * run.recordOutput(clock.now())
 * run.close()
 */
export class EndpointRuns {
  readonly #options: EndpointRunsOptions
  readonly #open = new Map<string, Set<EndpointRun>>()
  /** Incarnations that have crashed, or may have and are being looked at. */
  readonly #examined = new Set<string>()

  constructor (options: EndpointRunsOptions) {
    this.#options = options
  }

  /** Adds a run that is about to be sent. */
  open (description: RunDescription): EndpointRun {
    const run = new EndpointRun(description, this.#options.clock.now(), this)
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

  recordAnswer (run: EndpointRun, now: number): void {
    if (this.#options.breaker.recordAnswer(run.description.prompt, now)) this.#options.onNews()
  }

  close (run: EndpointRun): void {
    const { instance } = run.description
    const runs = this.#open.get(instance)
    runs?.delete(run)
    if (runs?.size === 0) this.#open.delete(instance)
  }

  /** Looks into the end of a run; all runs at the endpoint end at that moment if it has crashed. */
  examine ({ description: { instance, address } }: EndpointRun, now: number): void {
    if (this.#examined.has(instance)) return
    this.#examined.add(instance)
    dropOldest(this.#examined, maximumExamined)
    this.#reportIfCrashed(instance, address, this.#runsAt(instance), now).catch(error => this.#options.log.error('crash_check_failed', { endpoint: instance, reason: String(error) }))
  }

  async #reportIfCrashed (instance: string, address: string, runs: readonly RunAtCrash[], crashedAt: number): Promise<void> {
    if (!await this.#options.hasCrashed(address)) {
      this.#examined.delete(instance)
      return
    }
    const { breaker, clock, log, name, onNews } = this.#options
    log.warn('endpoint_crashed', { endpoint: instance, running: runs.length, runs: runs.slice(0, maximumLoggedRuns).map(run => describe(run, crashedAt)) })
    const suspects = suspectsAmong(runs)
    if (suspects.length === 0) return
    breaker.recordCrash({ instance, reporter: name, crashedAt, runs: suspects }, clock.now())
    onNews()
  }

  /** The runs at an endpoint now, those that began last first, and behind them those that have not begun, the last opened first. */
  #runsAt (instance: string): readonly RunAtCrash[] {
    const runs = [...this.#open.get(instance) ?? []].reverse()
    const atCrash = runs.map(({ begunAt, description, openedAt, suspect }) => ({ prompt: description.prompt, openedAt, begunAt, suspect }))
    return atCrash.sort((left, right) => (right.begunAt ?? Number.NEGATIVE_INFINITY) - (left.begunAt ?? Number.NEGATIVE_INFINITY) || 0)
  }
}

/** A run at an endpoint at the moment in which that crashed. */
interface RunAtCrash {
  readonly prompt: SharedPrompt
  readonly openedAt: number
  readonly begunAt: number | undefined
  /** Undefined if the run can't be the cause. */
  readonly suspect: SuspectRun | undefined
}

function suspectsAmong (runs: readonly RunAtCrash[]): readonly SuspectRun[] {
  const suspects = runs.flatMap(({ suspect }) => suspect ?? [])
  return suspects.filter(({ prompt }) => prompt.parts.length > 0).slice(0, maximumSuspects)
}

function describe ({ prompt, openedAt, begunAt }: RunAtCrash, crashedAt: number): string {
  const parts = prompt.parts.length === 0 ? '' : ` ${prompt.parts.join(',')}`
  const begun = begunAt === undefined ? '' : `, begun ${Math.round(crashedAt - begunAt)}ms`
  return `${prompt.organisation} request ${prompt.request ?? '-'}${parts} sent ${Math.round(crashedAt - openedAt)}ms${begun} before`
}
