/**
 * Tells one seed what this gateway has in progress at endpoints, and learns from it the work of all others. A gateway
 * reports about once a second while it has work or lately had some. It prefers the seeds of its region, and turns to
 * another one if its seed does not answer. Gateways that are reported to tell the seeds their sums. All of it is soft
 * state: what is lost is told again, and what is not told again lapses.
 */
import * as z from 'zod'
import { type Clock, type Randomness, Wakeup, retryIfHeldUp, rendezvousOrder } from '../contract/index.ts'
import type { Link, MessageType } from '../link/index.ts'
import type { Log } from '../observe/index.ts'
import type { WorkByEndpoint } from './contract.ts'
import { decodeWork, encodeWork, isEncodedWork } from './workCodec.ts'
import type { WorkNews } from './workNews.ts'
import { WorkSums } from './workSums.ts'

const reportIntervalMilliseconds = 1_000
/** Random part of an interval, so that the gateways do not decide in step. */
const intervalSpreadShare = 0.4
const sumIntervalMilliseconds = 500
const replyTimeoutMilliseconds = 600
/** A gateway without work reports for this long, so that its news is fresh when work comes again. */
const idleReportsMilliseconds = 10_000
/** A seed that has just started has heard from the others after this time. */
const settlingMilliseconds = reportIntervalMilliseconds * (1 + intervalSpreadShare / 2) + sumIntervalMilliseconds
/** A seed that did not answer is asked again after this time. */
const seedRetryMilliseconds = 10_000

const encodedWorkSchema = z.custom<Uint8Array>(isEncodedWork)
const reportSchema = z.object({ work: encodedWorkSchema })
const reportReplySchema = z.object({
  work: encodedWorkSchema,
  ageMilliseconds: z.number().nonnegative(),
  /** Whether the seed has just started and can't know the work of all yet; absent otherwise. */
  isSettling: z.boolean().optional()
})
const sumSchema = z.object({ work: encodedWorkSchema })
const sumReplySchema = z.object({})

const loadReport: MessageType<z.infer<typeof reportSchema>, z.infer<typeof reportReplySchema>> = { name: 'load_report', body: reportSchema, reply: reportReplySchema }
const loadSum: MessageType<z.infer<typeof sumSchema>, z.infer<typeof sumReplySchema>> = { name: 'load_sum', body: sumSchema, reply: sumReplySchema }

export interface LoadReportsOptions {
  readonly link: Link
  readonly seeds: () => readonly string[]
  /** The region of a gateway; undefined if it is not known yet. */
  readonly regionOf: (address: string) => string | undefined
  /** This gateway's work in progress. */
  readonly ownWork: () => WorkByEndpoint
  readonly news: WorkNews
  readonly clock: Clock
  readonly randomness: Randomness
  readonly log: Log
}

/** Reports on behalf of one gateway. */
export class LoadReports {
  readonly #options: LoadReportsOptions
  readonly #sums: WorkSums
  readonly #stopping = new AbortController()
  readonly #wakeup = new Wakeup()
  readonly #silentUntil = new Map<string, number>()
  readonly #startedAt: number
  #hadWorkAt = Number.NEGATIVE_INFINITY
  #source: string | undefined

  constructor (options: LoadReportsOptions) {
    this.#options = options
    const { clock, link } = options
    this.#startedAt = clock.now()
    this.#sums = new WorkSums(() => clock.heldUpMilliseconds())
    link.handle(loadReport, async ({ work }, from) => {
      const now = clock.now()
      this.#sums.recordReport(from.address, decodeWork(work), now)
      const others = this.#sums.withoutGateway(from.address, now)
      const settling = this.#isSettling(now) ? { isSettling: true } : {}
      return { work: encodeWork(others.work), ageMilliseconds: others.ageMilliseconds, ...settling }
    })
    link.handle(loadSum, async ({ work }, from) => {
      this.#sums.recordPeerSum(from.address, decodeWork(work), clock.now())
      return {}
    })
  }

  /** Reports until stopped; returns at once. */
  start (): void {
    const { log } = this.#options
    this.#runReports().catch(error => log.error('load_reports_failed', { reason: String(error) }))
    this.#runSums().catch(error => log.error('load_sums_failed', { reason: String(error) }))
  }

  stop (): void {
    this.#stopping.abort()
    this.#wakeup.wake()
  }

  /** Records that this gateway begins work; after a pause it reports at once. */
  notifyWork (now: number): void {
    const wasIdle = now - this.#hadWorkAt > idleReportsMilliseconds
    this.#hadWorkAt = now
    if (wasIdle) this.#wakeup.wake()
  }

  async #runReports (): Promise<void> {
    const { clock, randomness } = this.#options
    while (!this.#stopping.signal.aborted) {
      if (this.#isActive() && !await this.#report()) await this.#report()
      const spread = 1 + intervalSpreadShare * (randomness.fraction() - 0.5)
      await this.#wakeup.sleep(clock, reportIntervalMilliseconds * spread)
    }
  }

  async #runSums (): Promise<void> {
    const { clock, link, seeds } = this.#options
    while (!this.#stopping.signal.aborted) {
      await clock.sleep(sumIntervalMilliseconds, this.#stopping.signal)
      if (!this.#sums.hasReports(clock.now())) continue
      const body = { work: encodeWork(this.#sums.ownSum(clock.now())) }
      for (const seed of seeds()) if (seed !== link.self.address) link.request(peerAt(seed), loadSum, body, replyTimeoutMilliseconds).catch(() => undefined)
    }
  }

  #isSettling (now: number): boolean {
    return now - this.#startedAt < settlingMilliseconds
  }

  /** Whether this gateway has work or lately had some. */
  #isActive (): boolean {
    const { clock, ownWork } = this.#options
    const now = clock.now()
    if (ownWork().size > 0) this.#hadWorkAt = now
    return now - this.#hadWorkAt <= idleReportsMilliseconds
  }

  /** Returns whether a seed answered. */
  async #report (): Promise<boolean> {
    const { clock, link, news, ownWork } = this.#options
    const seed = this.#chooseSeed()
    if (seed === undefined) return true
    const askedAt = clock.now()
    if (seed === link.self.address) {
      this.#sums.recordReport(seed, ownWork(), askedAt)
      if (this.#isSettling(askedAt)) return true
      news.record(this.#sums.withoutGateway(seed, askedAt), askedAt)
      this.#recordSource(seed)
      return true
    }
    const reply = await retryIfHeldUp(clock, () => link.request(peerAt(seed), loadReport, { work: encodeWork(ownWork()) }, replyTimeoutMilliseconds), ({ ok }) => ok)
    if (reply.err) this.#recordSilence(seed)
    if (reply.err) return false
    if (reply.val.isSettling === true) return true
    news.record({ work: decodeWork(reply.val.work), ageMilliseconds: reply.val.ageMilliseconds }, askedAt)
    this.#recordSource(seed)
    return true
  }

  /** A seed reports to itself; the others are spread over the seeds of their region, or over all. */
  #chooseSeed (): string | undefined {
    const { clock, link, regionOf, seeds } = this.#options
    const { address, place } = link.self
    if (seeds().includes(address)) return address
    const answering = seeds().filter(seed => (this.#silentUntil.get(seed) ?? 0) <= clock.now())
    const ordered = rendezvousOrder(address, answering.length > 0 ? answering : seeds())
    return ordered.find(seed => regionOf(seed) === place.region) ?? ordered[0]
  }

  #recordSilence (seed: string): void {
    const { clock, news } = this.#options
    this.#silentUntil.set(seed, clock.now() + seedRetryMilliseconds)
    if (!news.isFresh(clock.now())) this.#recordSource(undefined)
  }

  #recordSource (source: string | undefined): void {
    if (source === this.#source) return
    this.#options.log.info('load_news_source', { source, before: this.#source })
    this.#source = source
  }
}

function peerAt (address: string) {
  return { name: '', address }
}
