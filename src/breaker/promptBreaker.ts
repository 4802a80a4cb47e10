/**
 * Circuit breaker on the content of requests. A request, or some part of a prompt, may crash every endpoint
 * that begins to work on it (a query of death); retries and repeats then carry the crash from endpoint to
 * endpoint. The breaker gathers what all gateways saw of crashes, blames a part, and refuses requests that
 * contain it. A whole request is the deepest part of its own content, which only its repeats share.
 *
 * All state merges: reports are a set keyed by endpoint incarnation and reporter, a good answer outweighs
 * blame, and of two blocks of a part one takes precedence everywhere. Order and repetition of messages
 * therefore do not matter.
 */
import { Err, Ok, type Result } from '../contract/index.ts'
import { type AnswerEvidence, type ObservedCrash, blamedParts, crashesUnder } from './blame.ts'
import {
  type BlockedPrompt, type BreakerChange, type CrashReport, type OrganisationPart, type PartAnswer, type PartBlock, type SharedPrompt,
  isRequestPart, organisationParts, partKey, partOfSuspect, requestPart, suspectParts
} from './contract.ts'
import { CrashReports } from './crashReports.ts'
import { type BreakerNews, FreshNews } from './freshNews.ts'
import { PartAnswers } from './partAnswers.ts'
import { PartBlocks, blockEnd, isTrial } from './partBlocks.ts'
import { SuspectRequests } from './suspectRequests.ts'

/** A crash is judged this long after it, when other gateways have told of their runs and good answers. */
const settlingMilliseconds = 300
/** A good answer is told again when the last one that was told is older than this. */
const answerRenewalMilliseconds = 60_000
/** A request whose runs have broken off so often may crash its endpoints. */
const maximumBrokenRuns = 2
/** A request that lay unanswered at so many crashes in sequence is not repeated when its run breaks off once more. */
const repeatedCrashCount = 2
/** A request that lay unanswered at so many crashes in sequence is not sent until the last of them is judged. */
const awaitedCrashCount = 3

/** What a gateway has learnt lately. */
export interface BreakerUpdate {
  /** What it saw or decided itself. */
  readonly own: BreakerNews
  /** What others told it. */
  readonly heard: BreakerNews
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
  readonly #crashes = new CrashReports()
  readonly #answers = new PartAnswers()
  readonly #requests = new SuspectRequests()
  readonly #blocks = new PartBlocks()
  /** What this gateway saw itself and has not told yet. */
  readonly #ownNews = new FreshNews()
  /** What others told it and it has not passed on yet. */
  readonly #heardNews = new FreshNews()
  /** When crashes are to be judged; infinite if nothing has changed. */
  #reviewAt = Number.POSITIVE_INFINITY
  readonly #evidence: AnswerEvidence = {
    isSound: (part, crashedAt) => this.#answers.isSound(part, crashedAt),
    lastAnsweredAt: request => this.#requests.lastAnsweredAt(request)
  }

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
    return this.#admitSuspect(prompt, now)
  }

  /**
   * Whether a request may be sent once more; not if too many of its runs broke off, or one did and it lay unanswered at earlier crashes too.
   *
   * @param brokenRuns its own runs that broke off and may be the cause
   */
  mayRepeat ({ organisation, request }: SharedPrompt, brokenRuns = 1): boolean {
    if (brokenRuns === 0) return true
    if (brokenRuns >= maximumBrokenRuns) return false
    return request === undefined || this.#crashesUnder({ organisation, part: requestPart(request) }).length < repeatedCrashCount
  }

  /** Whether a prompt contains a blocked part. */
  isBlocked (prompt: SharedPrompt, now: number): boolean {
    return organisationParts(prompt).some(part => this.#blocks.of(part, now) !== undefined)
  }

  /** Records what this gateway saw of a crash. */
  recordCrash (report: CrashReport, now: number): void {
    if (this.#addReport(report, now)) this.#ownNews.addReport(report)
  }

  /**
   * Records that a prompt was answered well.
   *
   * @returns whether other gateways should be told, because a part of it is suspected or blocked
   */
  recordAnswer (prompt: SharedPrompt, now: number): boolean {
    const answers = organisationParts(prompt).map(part => ({ ...part, answeredAt: now }))
    const news = answers.filter(answer => this.#recordAnswer(answer, now))
    for (const answer of news) this.#ownNews.addAnswer(answer)
    return news.length > 0
  }

  /** Merges what another gateway told; returns whether any of it was news. */
  merge ({ reports, blocks, answers }: BreakerNews, now: number): boolean {
    const newAnswers = answers.filter(answer => this.#mergeAnswer(answer, now))
    const newReports = reports.filter(report => this.#addReport(report, now))
    const newBlocks = blocks.filter(block => this.#mergeBlock(block, now))
    for (const answer of newAnswers) this.#heardNews.addAnswer(answer)
    for (const report of newReports) this.#heardNews.addReport(report)
    for (const block of newBlocks) this.#heardNews.addBlock(block)
    return newAnswers.length + newReports.length + newBlocks.length > 0
  }

  /** What was learnt since the last call: what peers are told at once. */
  takeUpdate (): BreakerUpdate {
    return { own: this.#ownNews.take(), heard: this.#heardNews.take() }
  }

  /** All that another gateway should know. */
  news (now: number): BreakerNews {
    const reports = this.#crashes.told(now)
    return { reports, blocks: this.#blocks.all(now), answers: this.#answersTo(reports) }
  }

  /** Judges the crashes that have settled. */
  review (now: number): void {
    if (now < this.#reviewAt) return
    this.#crashes.forgetOld(now)
    this.#requests.retain(this.#crashes.all)
    const crashes = this.#crashes.observed
    this.#reviewAt = Math.min(Number.POSITIVE_INFINITY, ...crashes.map(settledAt).filter(at => at > now))
    const settled = crashes.filter(crash => settledAt(crash) <= now)
    for (;;) {
      const parts = blamedParts(this.#withoutExplained(settled, now), this.#evidence)
      const blocked = parts.filter(part => this.#setBlock({ ...part, holder: this.#options.name, trips: 1, blockedAt: now }, now))
      if (blocked.length === 0) return
    }
  }

  /** The instances of the crashes that are known, each with the time of its crash. */
  knownCrashes (): ReadonlyMap<string, number> {
    return this.#crashes.instances
  }

  /** Whether a request lay unanswered at a known crash. */
  isSuspect ({ organisation, request }: SharedPrompt): boolean {
    return request !== undefined && this.#requests.has({ organisation, part: requestPart(request) })
  }

  /** Holds back a request that would be blocked, were its last crash judged; other gateways may still tell of its answer. */
  #admitSuspect ({ organisation, request }: SharedPrompt, now: number): Result<void, BlockedPrompt> {
    if (request === undefined) return Ok(undefined)
    const part = { organisation, part: requestPart(request) }
    const crashes = this.#crashesUnder(part)
    if (crashes.length < awaitedCrashCount) return Ok(undefined)
    const judgedAt = Math.max(...crashes.map(settledAt))
    return judgedAt > now ? Err({ part: part.part, retryAfterMilliseconds: judgedAt - now }) : Ok(undefined)
  }

  /** The sequence of crashes at which a request lay unanswered. */
  #crashesUnder (part: OrganisationPart): readonly ObservedCrash[] {
    return this.#requests.has(part) ? crashesUnder(this.#crashes.observed, part, this.#evidence) : []
  }

  #addReport (report: CrashReport, now: number): boolean {
    const crashedAt = this.#crashes.add(report, now)
    if (crashedAt === undefined) return false
    this.#requests.add(report)
    for (const answer of this.#answersTo([report])) this.#ownNews.addAnswer(answer)
    this.#reviewAt = Math.min(this.#reviewAt, Math.max(now, settledAt({ crashedAt })))
    this.#renewBlocks(report, now)
    return true
  }

  /** The last good answers to what the runs of some reports contain. */
  #answersTo (reports: readonly CrashReport[]): readonly PartAnswer[] {
    const suspects = reports.flatMap(suspectParts)
    const parts = new Map(suspects.map(({ part }) => [partKey(part), part]))
    const answers = [...parts.values()].flatMap(part => this.#answers.lastAnswer(part) ?? [])
    return [...answers, ...this.#requests.answersTo(reports)]
  }

  /** A crash under a trial shows that its block was right. */
  #renewBlocks (report: CrashReport, now: number): void {
    const { requests = [], crashedAt } = report
    const wholes = requests.map(request => ({ part: partOfSuspect(request), startedAt: request.sentAt }))
    for (const { part, startedAt } of [...suspectParts(report), ...wholes]) {
      const block = this.#blocks.of(part, now)
      if (block !== undefined && isTrial(block, startedAt)) this.#setBlock({ ...block, trips: block.trips + 1, blockedAt: crashedAt }, now)
    }
  }

  #block (block: PartBlock, now: number): boolean {
    const isAdded = this.#blocks.add(block, now)
    if (isAdded) this.#options.onChange?.({ type: 'blocked', block })
    return isAdded
  }

  /** Sets a block of its own finding, and has peers told. */
  #setBlock (block: PartBlock, now: number): boolean {
    const isAdded = this.#block(block, now)
    if (isAdded) this.#ownNews.addBlock(block)
    return isAdded
  }

  #mergeBlock (block: PartBlock, now: number): boolean {
    return !this.#outweighsBlock(block) && this.#block(block, now)
  }

  /** Whether a good answer outweighs the crashes that a block rests on. */
  #outweighsBlock (block: PartBlock): boolean {
    return isRequestPart(block.part) ? this.#requests.isAnsweredSince(block, block.blockedAt) : this.#answers.isSound(block, block.blockedAt)
  }

  /** Records a good answer of this gateway; returns whether others should be told. */
  #recordAnswer (answer: PartAnswer, now: number): boolean {
    if (isRequestPart(answer.part)) return this.#recordRequestAnswer(answer, now)
    const known = this.#answers.lastAnswer(answer)
    this.#answers.record(answer)
    return this.#clearBlock(answer, now) || (isRenewal(now, known) && this.#isSuspected(answer, now))
  }

  #recordRequestAnswer (answer: PartAnswer, now: number): boolean {
    const isCleared = this.#requests.recordAnswer(answer)
    return this.#clearBlock(answer, now) || isCleared
  }

  #mergeAnswer (answer: PartAnswer, now: number): boolean {
    if (isRequestPart(answer.part)) return this.#recordRequestAnswer(answer, now)
    const isNews = isRenewal(answer.answeredAt, this.#answers.lastAnswer(answer))
    this.#answers.record(answer)
    const isCleared = this.#clearBlock(answer, now)
    if (isNews) this.#reviewAt = Math.min(this.#reviewAt, now)
    return isNews || isCleared
  }

  /** Ends the block of a part that is sound. */
  #clearBlock (part: OrganisationPart, now: number): boolean {
    const block = this.#blocks.of(part, now)
    if (block === undefined || !this.#outweighsBlock(block)) return false
    this.#blocks.remove(part)
    this.#options.onChange?.({ type: 'cleared', block })
    return true
  }

  #isSuspected ({ organisation, part }: OrganisationPart, now: number): boolean {
    return this.#crashes.told(now).some(report => suspectParts(report).some(suspect => suspect.part.organisation === organisation && suspect.part.part === part))
  }

  /** Leaves out crashes that a blocked prompt part explains, and marks those that a blocked request does. */
  #withoutExplained (crashes: readonly ObservedCrash[], now: number): readonly ObservedCrash[] {
    const isBlocked = (part: OrganisationPart) => this.#blocks.of(part, now) !== undefined
    const unexplained = crashes.filter(crash => !suspectParts(crash).some(({ part }) => isBlocked(part)))
    return unexplained.map(crash => ({ ...crash, isExplainedByRequest: crash.requests.map(partOfSuspect).some(isBlocked) }))
  }
}

/** When a crash may be judged. */
function settledAt ({ crashedAt }: Pick<ObservedCrash, 'crashedAt'>): number {
  return crashedAt + settlingMilliseconds
}

function isRenewal (answeredAt: number, known: PartAnswer | undefined): boolean {
  return known === undefined || answeredAt - known.answeredAt > answerRenewalMilliseconds
}
