/**
 * Spreads what a gateway learns of endpoints and prompts to all gateways, without the store: crashes and blocks
 * of the breaker, the limits that endpoints announce, and endpoints that are not at their address any more. All of
 * it merges, so order and repetition do not matter. News goes to a few random peers at once, and each gateway to which it is news passes on just that
 * (an epidemic broadcast). For a while afterwards, and as long as a part is blocked, gateways compare digests of
 * what they know with random peers, and tell these what they lack, which reaches those that were cut off
 * (anti-entropy). With nothing to tell, nothing is sent.
 */
import { type BreakerNews, type PromptBreaker, decodeBreakerNews, encodeBreakerNews, factHashes, newsBeyond, summaryOf } from '../breaker/index.ts'
import { type Clock, type Randomness, Wakeup, randomSample, scheduleReplyTimeout } from '../contract/index.ts'
import type { Link, Peer } from '../link/index.ts'
import { type MisdirectedEndpoints, encodeMisdirectionFacts } from '../misdirection/index.ts'
import type { Log } from '../observe/index.ts'
import { type AnnouncedLimits, decodeLimitFacts, encodeLimitFacts } from '../rateLimit/index.ts'
import { type EncodedNews, newsMessage } from './newsMessages.ts'

/** Peers to which news goes at once. */
const broadcastPeerCount = 6
/** Peers to which a gateway passes on what it has heard. */
const passingPeerCount = 3
/** Peers in each further round. */
const roundPeerCount = 2
/** Interval of the rounds. */
const roundMilliseconds = 1_000
/** Delay before news is sent, so that what arrives together is sent together. */
const batchMilliseconds = 30
const replyTimeoutMilliseconds = 1_000
/** With nothing to tell, it is looked for news this often; news ends the wait. */
const idleMilliseconds = 5_000
/** A gateway that has just started asks the peers in its settings this often, while none has answered. */
const startAttempts = 5
/** Requests of callers wait for the first answer at most this long. */
const firstAnswerMilliseconds = 300

const noNews: BreakerNews = { reports: [], blocks: [], answers: [] }
const emptyReply: EncodedNews = { reports: [], blocks: [], answers: [] }

export interface NewsExchangeOptions {
  readonly link: Link
  readonly breaker: PromptBreaker
  readonly limits: AnnouncedLimits
  /** Undefined where requests don't name their endpoint, so that nothing tells whose address it is. */
  readonly misdirected?: Pick<MisdirectedEndpoints, 'merge' | 'news' | 'all'>
  /** Other gateways that are known. */
  readonly peers: () => readonly Peer[]
  /** Called after each message that brought news of the breaker. */
  readonly onBreakerNews: () => void
  readonly clock: Clock
  readonly randomness: Randomness
  readonly log: Log
}

/** Exchanges news on behalf of one gateway. */
export class NewsExchange {
  readonly #options: NewsExchangeOptions
  readonly #stopping = new AbortController()
  readonly #wakeup = new Wakeup()
  #hasNews = false
  #endAsking: () => void = () => undefined
  readonly #asking = new Promise<void>(resolve => { this.#endAsking = resolve })

  constructor (options: NewsExchangeOptions) {
    this.#options = options
    options.link.handle(newsMessage, async news => {
      this.#merge(news)
      return this.#replyTo(news)
    })
  }

  /** Asks peers what they know, then exchanges news until stopped; returns at once. */
  start (): void {
    this.#run().catch(error => this.#options.log.error('news_exchange_failed', { reason: String(error) }))
  }

  stop (): void {
    this.#stopping.abort()
    this.#wakeup.wake()
  }

  /** Sends what was learnt to peers. */
  publish (): void {
    this.#hasNews = true
    this.#wakeup.wake()
  }

  /** Resolves when the peers that were asked after the start have answered, or shortly afterwards. */
  untilAsked (): Promise<void> {
    return this.#asking
  }

  async #run (): Promise<void> {
    await Promise.all([this.#askAfterStart(), this.#exchangePeriodically()])
  }

  async #exchangePeriodically (): Promise<void> {
    const { clock } = this.#options
    while (!this.#stopping.signal.aborted) {
      if (!this.#hasNews) await this.#wakeup.sleep(clock, this.#isEmpty ? idleMilliseconds : roundMilliseconds)
      await clock.sleep(batchMilliseconds, this.#stopping.signal)
      this.#options.breaker.review(clock.now())
      // A peer that does not answer must not delay what the others are told next.
      if (this.#hasNews) this.#broadcast()
      else if (!this.#isEmpty) for (const peer of this.#pickPeers(roundPeerCount)) this.#compareWith(peer).catch(() => undefined)
    }
  }

  /** Tells a few peers what was just learnt: some of them what this gateway saw itself, fewer also what others told it. */
  #broadcast (): void {
    this.#hasNews = false
    const { own, heard } = this.#options.breaker.takeUpdate()
    const peers = this.#pickPeers(broadcastPeerCount)
    // In a small fleet whoever saw it has told everyone already.
    const passingCount = this.#options.peers().length > broadcastPeerCount ? passingPeerCount : 0
    for (const [index, peer] of peers.entries()) {
      const news = index < passingCount ? joined(own, heard) : own
      if (!isEmptyNews(this.#message({ news, isComplete: false }))) this.#sendUpdate(peer, news).catch(() => undefined)
    }
  }

  /** Compares digests with a peer, and tells it what it lacks. */
  async #compareWith (peer: Peer): Promise<void> {
    const { breaker, clock } = this.#options
    const summary = summaryOf(factHashes(breaker.news(clock.now())))
    const reply = await this.#sendTo(peer, () => ({ ...this.#message({ news: noNews, isComplete: false }), summary }))
    if (reply === undefined || reply.isSame) return
    // A gateway of an earlier build tells all that it knows instead of hashes.
    const lacking = newsBeyond(breaker.news(clock.now()), new Set(reply.known))
    if (!isEmptyNews(this.#message({ news: lacking, isComplete: false }))) await this.#sendUpdate(peer, lacking)
  }

  async #askAfterStart (): Promise<void> {
    const { clock } = this.#options
    scheduleReplyTimeout(clock, firstAnswerMilliseconds, this.#endAsking)
    for (let attempt = 0; attempt < startAttempts && !this.#stopping.signal.aborted; attempt++) {
      const question = () => ({ ...this.#allNews(false), isStarting: true })
      const answers = await Promise.all(this.#pickPeers(broadcastPeerCount).map(peer => this.#sendTo(peer, question)))
      this.#endAsking()
      if (answers.some(answer => answer !== undefined)) return
      await clock.sleep(roundMilliseconds, this.#stopping.signal)
    }
  }

  async #sendUpdate (peer: Peer, news: BreakerNews): Promise<void> {
    await this.#sendTo(peer, () => ({ ...this.#message({ news, isComplete: false }), isUpdate: true }))
  }

  /**
   * Sends what is composed once the peer is connected, since it tells how long ago things were.
   *
   * @returns what the peer told in reply; undefined if it did not answer
   */
  async #sendTo (peer: Peer, compose: () => EncodedNews): Promise<EncodedNews | undefined> {
    const { link } = this.#options
    await link.connect(peer, replyTimeoutMilliseconds)
    const reply = await link.request(peer, newsMessage, compose(), replyTimeoutMilliseconds)
    if (reply.err) return undefined
    this.#merge(reply.val)
    return reply.val
  }

  #merge (news: EncodedNews): void {
    const { breaker, clock, limits, misdirected, onBreakerNews } = this.#options
    const now = clock.now()
    const hasBreakerNews = breaker.merge(decodeBreakerNews(news, now), now)
    const hasLimitNews = limits.merge(decodeLimitFacts(news.limits ?? []), now)
    const hasMisdirectionNews = misdirected?.merge(news.misdirected ?? [], now) ?? false
    if (hasBreakerNews) onBreakerNews()
    if (hasBreakerNews || hasLimitNews || hasMisdirectionNews) this.publish()
  }

  #replyTo ({ isStarting, isUpdate, summary }: EncodedNews): EncodedNews {
    if (isUpdate) return emptyReply
    if (summary === undefined) return this.#allNews(isStarting === true)
    const { breaker, clock } = this.#options
    const known = factHashes(breaker.news(clock.now()))
    return summary === summaryOf(known) ? { ...emptyReply, isSame: true } : { ...emptyReply, known: [...known] }
  }

  /** All that is told; complete with what only a gateway that has just started needs. */
  #allNews (isComplete: boolean): EncodedNews {
    const { breaker, clock } = this.#options
    return this.#message({ news: breaker.news(clock.now()), isComplete })
  }

  #message ({ news, isComplete }: { readonly news: BreakerNews, readonly isComplete: boolean }): EncodedNews {
    const { clock, limits, misdirected } = this.#options
    const now = clock.now()
    const limitFacts = isComplete ? limits.all(now) : limits.news(now)
    const misdirectionFacts = isComplete ? misdirected?.all(now) : misdirected?.news(now)
    return { ...encodeBreakerNews(news, now), limits: encodeLimitFacts(limitFacts), misdirected: encodeMisdirectionFacts(misdirectionFacts ?? []) }
  }

  get #isEmpty (): boolean {
    const { breaker, clock, limits, misdirected } = this.#options
    const now = clock.now()
    const { reports, blocks } = breaker.news(now)
    return [reports, blocks, limits.news(now), misdirected?.news(now) ?? []].every(facts => facts.length === 0)
  }

  #pickPeers (count: number): readonly Peer[] {
    return randomSample(this.#options.randomness, this.#options.peers(), count)
  }
}

function isEmptyNews ({ reports, blocks, answers, limits = [], misdirected = [] }: EncodedNews): boolean {
  return [reports, blocks, answers, limits, misdirected].every(facts => facts.length === 0)
}

function joined (left: BreakerNews, right: BreakerNews): BreakerNews {
  return { reports: [...left.reports, ...right.reports], blocks: [...left.blocks, ...right.blocks], answers: [...left.answers, ...right.answers] }
}
