/**
 * Circuit breaker on prompt parts. Some part of a prompt may crash every endpoint that begins to answer it
 * (a query of death); retries and further requests then carry the crash from endpoint to endpoint. The
 * breaker gathers what all gateways saw of crashes, blames a part, and refuses requests that contain it.
 *
 * All state merges: reports are a set keyed by endpoint incarnation and reporter, a good answer outweighs
 * blame, and of two blocks of a part one takes precedence everywhere. Order and repetition of messages
 * therefore do not matter.
 */
import { Err, Ok, type Result, dropOldest, getOrCreate } from '../contract/index.ts'
import { type ObservedCrash, blamedPart } from './blame.ts'
import { type BlockedPrompt, type BreakerChange, type CrashReport, type OrganisationPart, type PartAnswer, type PartBlock, type SharedPrompt, organisationParts, partKey } from './contract.ts'
import { PartAnswers } from './partAnswers.ts'
import { PartBlocks, blockEnd, isTrial } from './partBlocks.ts'

/** A crash is judged this long after it, when other gateways have told of their runs and good answers. */
const settlingMilliseconds = 300
/** Crashes are kept for this time. */
const retentionMilliseconds = 10 * 60_000
const maximumCrashes = 64
/** Crashes of this time are told to other gateways; older ones they have heard of. */
const toldCrashMilliseconds = 30_000
/** A good answer is told again when the last one that was told is older than this. */
const answerRenewalMilliseconds = 60_000

/** What gateways tell each other. */
export interface BreakerNews {
  readonly reports: readonly CrashReport[]
  readonly blocks: readonly PartBlock[]
  readonly answers: readonly PartAnswer[]
}

export interface PromptBreakerOptions {
  /** This gateway's name. */
  readonly name: string
  /** Called after each change. */
  readonly onChange?: (change: BreakerChange) => void
}

/**
 * @example
 * const admission = breaker.admit({ organisation: 'harbour', parts: ['a1', 'b2'] }, now)
 * if (admission.err) refuse(admission.val)
 */
export class PromptBreaker {
  readonly #options: PromptBreakerOptions
  /** Reports by endpoint incarnation and reporter. */
  readonly #crashes = new Map<string, Map<string, CrashReport>>()
  readonly #answers = new PartAnswers()
  readonly #blocks = new PartBlocks()
  /** When crashes are to be judged; infinite if nothing has changed. */
  #reviewAt = Number.POSITIVE_INFINITY

  constructor (options: PromptBreakerOptions) {
    this.#options = options
  }

  /** Whether a request may be sent to an endpoint now; asked before each attempt. */
  admit (prompt: SharedPrompt, now: number): Result<void, BlockedPrompt> {
    this.review(now)
    for (const part of organisationParts(prompt)) {
      const block = this.#blocks.of(part, now)
      if (block === undefined) continue
      if (!this.#blocks.tryTrial(block, this.#options.name, now)) return Err({ part: part.part, retryAfterMilliseconds: blockEnd(block) - now })
      this.#options.onChange?.({ type: 'trial', block })
    }
    return Ok(undefined)
  }

  /** Whether a prompt contains a blocked part. */
  isBlocked (prompt: SharedPrompt, now: number): boolean {
    return organisationParts(prompt).some(part => this.#blocks.of(part, now) !== undefined)
  }

  /** Records what this gateway saw of a crash. */
  recordCrash (report: CrashReport, now: number): void {
    this.#addReport(report, now)
  }

  /**
   * Records that a prompt was answered well.
   *
   * @returns whether other gateways should be told, because a part of it is suspected or blocked
   */
  recordAnswer (prompt: SharedPrompt, now: number): boolean {
    let isNews = false
    for (const part of organisationParts(prompt)) {
      const known = this.#answers.lastAnswer(part)
      this.#answers.record({ ...part, answeredAt: now })
      if (this.#clearBlock(part, now)) isNews = true
      else if (isRenewal(now, known) && this.#isSuspected(part, now)) isNews = true
    }
    return isNews
  }

  /** Merges what another gateway told; returns whether any of it was news. */
  merge ({ reports, blocks, answers }: BreakerNews, now: number): boolean {
    let isNews = false
    for (const answer of answers) isNews = this.#mergeAnswer(answer, now) || isNews
    for (const report of reports) isNews = this.#addReport(report, now) || isNews
    for (const block of blocks) isNews = this.#mergeBlock(block, now) || isNews
    return isNews
  }

  /** What another gateway should know. */
  news (now: number): BreakerNews {
    const reports = this.#toldReports(now)
    const suspects = reports.flatMap(({ runs }) => runs.flatMap(({ prompt }) => organisationParts(prompt)))
    const parts = new Map(suspects.map(part => [partKey(part), part]))
    const answers = [...parts.values()].flatMap(part => this.#answers.lastAnswer(part) ?? [])
    return { reports, blocks: this.#blocks.all(now), answers }
  }

  /** Judges the crashes that have settled. */
  review (now: number): void {
    if (now < this.#reviewAt) return
    this.#forgetOldCrashes(now)
    const crashes = this.#observedCrashes()
    const unsettled = crashes.filter(({ crashedAt }) => crashedAt + settlingMilliseconds > now)
    this.#reviewAt = Math.min(Number.POSITIVE_INFINITY, ...unsettled.map(({ crashedAt }) => crashedAt + settlingMilliseconds))
    for (;;) {
      const unexplained = crashes.filter(crash => crash.crashedAt + settlingMilliseconds <= now && !this.#isExplained(crash, now))
      const part = blamedPart(unexplained, (part, crashedAt) => this.#answers.isSound(part, crashedAt))
      if (part === undefined || !this.#block({ ...part, holder: this.#options.name, trips: 1, blockedAt: now }, now)) return
    }
  }

  #addReport (report: CrashReport, now: number): boolean {
    if (now - report.crashedAt > retentionMilliseconds) return false
    const reports = getOrCreate(this.#crashes, report.instance, () => new Map<string, CrashReport>())
    if (reports.has(report.reporter)) return false
    reports.set(report.reporter, report)
    dropOldest(this.#crashes, maximumCrashes)
    this.#reviewAt = Math.min(this.#reviewAt, now)
    this.#renewBlocks(report, now)
    return true
  }

  /** A crash under a trial shows that its block was right. */
  #renewBlocks ({ runs, crashedAt }: CrashReport, now: number): void {
    for (const { prompt, begunAt } of runs) {
      for (const part of organisationParts(prompt)) {
        const block = this.#blocks.of(part, now)
        if (block !== undefined && isTrial(block, begunAt)) this.#block({ ...block, trips: block.trips + 1, blockedAt: crashedAt }, now)
      }
    }
  }

  #block (block: PartBlock, now: number): boolean {
    const isAdded = this.#blocks.add(block, now)
    if (isAdded) this.#options.onChange?.({ type: 'blocked', block })
    return isAdded
  }

  #mergeBlock (block: PartBlock, now: number): boolean {
    return !this.#answers.isSound(block, block.blockedAt) && this.#block(block, now)
  }

  #mergeAnswer (answer: PartAnswer, now: number): boolean {
    const isNews = isRenewal(answer.answeredAt, this.#answers.lastAnswer(answer))
    this.#answers.record(answer)
    const isCleared = this.#clearBlock(answer, now)
    if (isNews) this.#reviewAt = Math.min(this.#reviewAt, now)
    return isNews || isCleared
  }

  /** Ends the block of a part that is sound. */
  #clearBlock (part: OrganisationPart, now: number): boolean {
    const block = this.#blocks.of(part, now)
    if (block === undefined || !this.#answers.isSound(part, block.blockedAt)) return false
    this.#blocks.remove(part)
    this.#options.onChange?.({ type: 'cleared', block })
    return true
  }

  #isSuspected ({ organisation, part }: OrganisationPart, now: number): boolean {
    return this.#toldReports(now).some(({ runs }) => runs.some(({ prompt }) => prompt.organisation === organisation && prompt.parts.includes(part)))
  }

  #isExplained ({ runs }: ObservedCrash, now: number): boolean {
    return runs.some(({ prompt }) => this.isBlocked(prompt, now))
  }

  #observedCrashes (): readonly ObservedCrash[] {
    return [...this.#crashes.values()].map(reports => {
      const all = [...reports.values()]
      return { crashedAt: Math.min(...all.map(({ crashedAt }) => crashedAt)), runs: all.flatMap(({ runs }) => runs) }
    })
  }

  #toldReports (now: number): readonly CrashReport[] {
    const reports = [...this.#crashes.values()].flatMap(reports => [...reports.values()])
    return reports.filter(({ crashedAt }) => now - crashedAt < toldCrashMilliseconds)
  }

  #forgetOldCrashes (now: number): void {
    for (const [instance, reports] of this.#crashes) {
      if ([...reports.values()].every(({ crashedAt }) => now - crashedAt > retentionMilliseconds)) this.#crashes.delete(instance)
    }
  }
}

function isRenewal (answeredAt: number, known: PartAnswer | undefined): boolean {
  return known === undefined || answeredAt - known.answeredAt > answerRenewalMilliseconds
}
