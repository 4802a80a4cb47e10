/**
 * Spreads what a gateway learns of endpoints and prompts to all gateways, without the store: crashes and blocks
 * of the breaker, and the limits that endpoints announce. All of it merges, so order and repetition do not
 * matter. News goes to a few random peers at once, and each gateway to which it is news passes it on (an
 * epidemic broadcast). For a while afterwards, and as long as a part is blocked, gateways exchange what they
 * know with random peers, which reaches those that were cut off. With nothing to tell, nothing is sent.
 */
import { type PromptBreaker, decodeBreakerNews, encodeBreakerNews } from '../breaker/index.ts'
import { type Clock, type Randomness, Wakeup, randomSample } from '../contract/index.ts'
import type { Link, Peer } from '../link/index.ts'
import type { Log } from '../observe/index.ts'
import { type AnnouncedLimits, decodeLimitFacts, encodeLimitFacts } from '../rateLimit/index.ts'
import { type EncodedNews, newsMessage } from './newsMessages.ts'

/** Peers to which news goes at once. */
const broadcastPeerCount = 6
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

export interface NewsExchangeOptions {
  readonly link: Link
  readonly breaker: PromptBreaker
  readonly limits: AnnouncedLimits
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
      return this.#ownNews(news.isStarting === true)
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
      const peerCount = this.#hasNews ? broadcastPeerCount : roundPeerCount
      this.#hasNews = false
      this.#options.breaker.review(clock.now())
      // A peer that does not answer must not delay what the others are told next.
      if (!this.#isEmpty) for (const peer of this.#pickPeers(peerCount)) this.#sendTo(peer).catch(() => undefined)
    }
  }

  async #askAfterStart (): Promise<void> {
    const { clock } = this.#options
    clock.schedule(firstAnswerMilliseconds, this.#endAsking)
    for (let attempt = 0; attempt < startAttempts && !this.#stopping.signal.aborted; attempt++) {
      const answers = await Promise.all(this.#pickPeers(broadcastPeerCount).map(peer => this.#sendTo(peer, true)))
      this.#endAsking()
      if (answers.some(hasAnswered => hasAnswered)) return
      await clock.sleep(roundMilliseconds, this.#stopping.signal)
    }
  }

  /** Returns whether the peer answered. */
  async #sendTo (peer: Peer, isStarting = false): Promise<boolean> {
    const news = isStarting ? { ...this.#ownNews(false), isStarting } : this.#ownNews(false)
    const reply = await this.#options.link.request(peer, newsMessage, news, replyTimeoutMilliseconds)
    if (reply.ok) this.#merge(reply.val)
    return reply.ok
  }

  #merge (news: EncodedNews): void {
    const { breaker, clock, limits, onBreakerNews } = this.#options
    const now = clock.now()
    const hasBreakerNews = breaker.merge(decodeBreakerNews(news, now), now)
    const hasLimitNews = limits.merge(decodeLimitFacts(news.limits ?? []), now)
    if (hasBreakerNews) onBreakerNews()
    if (hasBreakerNews || hasLimitNews) this.publish()
  }

  #ownNews (isComplete: boolean): EncodedNews {
    const { breaker, clock, limits } = this.#options
    const now = clock.now()
    const facts = isComplete ? limits.all(now) : limits.news(now)
    return { ...encodeBreakerNews(breaker.news(now), now), limits: encodeLimitFacts(facts) }
  }

  get #isEmpty (): boolean {
    const { breaker, clock, limits } = this.#options
    const { reports, blocks } = breaker.news(clock.now())
    return reports.length === 0 && blocks.length === 0 && limits.news(clock.now()).length === 0
  }

  #pickPeers (count: number): readonly Peer[] {
    return randomSample(this.#options.randomness, this.#options.peers(), count)
  }
}
