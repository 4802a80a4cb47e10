/**
 * Spreads what a gateway's breaker learns to all gateways, without the store. News goes to a few random
 * peers at once, and each gateway to which it is news passes it on (an epidemic broadcast). For a while
 * afterwards, and as long as a part is blocked, gateways exchange what they know with random peers, which
 * reaches those that were cut off. With nothing to tell, nothing is sent.
 */
import { type Clock, type Randomness, Wakeup, randomSample } from '../contract/index.ts'
import type { Link, Peer } from '../link/index.ts'
import type { Log } from '../observe/index.ts'
import { type EncodedNews, breakerNews, decodeNews, encodeNews } from './breakerMessages.ts'
import type { PromptBreaker } from './promptBreaker.ts'

/** Peers to which news goes at once. */
const broadcastPeerCount = 6
/** Peers in each further round. */
const roundPeerCount = 2
/** Interval of the rounds. */
const roundMilliseconds = 1_000
/** Delay before news is sent, so that what arrives together is sent together. */
const batchMilliseconds = 30
const replyTimeoutMilliseconds = 1_000
/** With nothing to tell, the breaker is looked at this often; news ends the wait. */
const idleMilliseconds = 5_000
/** A gateway that has just started asks the peers in its settings this often, while none has answered. */
const startAttempts = 5

export interface BreakerExchangeOptions {
  readonly link: Link
  readonly breaker: PromptBreaker
  /** Other gateways that are known. */
  readonly peers: () => readonly Peer[]
  /** Called after each message that brought news. */
  readonly onNews: () => void
  readonly clock: Clock
  readonly randomness: Randomness
  readonly log: Log
}

/** Exchanges news on behalf of one gateway. */
export class BreakerExchange {
  readonly #options: BreakerExchangeOptions
  readonly #stopping = new AbortController()
  readonly #wakeup = new Wakeup()
  #hasNews = false

  constructor (options: BreakerExchangeOptions) {
    this.#options = options
    options.link.handle(breakerNews, async news => {
      this.#merge(news)
      return this.#ownNews()
    })
  }

  /** Asks peers what they know, then exchanges news until stopped; returns at once. */
  start (): void {
    this.#run().catch(error => this.#options.log.error('breaker_exchange_failed', { reason: String(error) }))
  }

  stop (): void {
    this.#stopping.abort()
    this.#wakeup.wake()
  }

  /** Sends what the breaker has learnt to peers. */
  publish (): void {
    this.#hasNews = true
    this.#wakeup.wake()
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
    for (let attempt = 0; attempt < startAttempts && !this.#stopping.signal.aborted; attempt++) {
      const answers = await Promise.all(this.#pickPeers(broadcastPeerCount).map(peer => this.#sendTo(peer)))
      if (answers.some(hasAnswered => hasAnswered)) return
      await clock.sleep(roundMilliseconds, this.#stopping.signal)
    }
  }

  /** Returns whether the peer answered. */
  async #sendTo (peer: Peer): Promise<boolean> {
    const reply = await this.#options.link.request(peer, breakerNews, this.#ownNews(), replyTimeoutMilliseconds)
    if (reply.ok) this.#merge(reply.val)
    return reply.ok
  }

  #merge (news: EncodedNews): void {
    const { breaker, clock, onNews } = this.#options
    const now = clock.now()
    if (!breaker.merge(decodeNews(news, now), now)) return
    onNews()
    this.publish()
  }

  #ownNews (): EncodedNews {
    const { breaker, clock } = this.#options
    return encodeNews(breaker.news(clock.now()), clock.now())
  }

  get #isEmpty (): boolean {
    const { reports, blocks } = this.#options.breaker.news(this.#options.clock.now())
    return reports.length === 0 && blocks.length === 0
  }

  #pickPeers (count: number): readonly Peer[] {
    return randomSample(this.#options.randomness, this.#options.peers(), count)
  }
}
