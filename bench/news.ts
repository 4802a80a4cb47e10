/**
 * The news that reaches a data centre's deciders: each engine's report, late and sometimes lost. All
 * deciders of a data centre see one report at one moment, which is the hardest case for herding.
 */
import type { Randomness } from '../src/contract/index.ts'
import type { EndpointView } from '../src/choice/index.ts'
import type { FakeEngine } from './engine.ts'
import { describe } from './fleet.ts'
import type { VirtualTime } from './virtualTime.ts'
import { drawWait, type World } from './world.ts'

/** Milliseconds until an engine that does not answer is taken for dead. */
const deathDetectionMilliseconds = 2_000

/** One data centre's news of all engines. */
export class NewsFeed {
  readonly #views: EndpointView[]
  readonly #engines: readonly FakeEngine[]
  readonly #time: VirtualTime
  readonly #randomness: Randomness
  readonly #world: World
  readonly #lagFactor: number

  /** @param lagFactor how much later than the world's lag reports arrive */
  constructor (engines: readonly FakeEngine[], world: World, time: VirtualTime, randomness: Randomness, lagFactor: number) {
    this.#engines = engines
    this.#world = world
    this.#time = time
    this.#randomness = randomness
    this.#lagFactor = lagFactor
    this.#views = engines.map(engine => ({ endpoint: describe(engine), healthy: true, leaving: false, report: engine.report(), reportedAt: 0 }))
  }

  /** What the deciders know now. */
  views (): readonly EndpointView[] {
    return this.#views
  }

  /** Makes reports until a moment. */
  start (endMilliseconds: number): void {
    const every = this.#world.news.loadReportEveryMilliseconds
    this.#engines.forEach((engine, index) => this.#reportLater(index, engine, every * this.#randomness.fraction(), every, endMilliseconds))
  }

  #reportLater (index: number, engine: FakeEngine, wait: number, every: number, end: number): void {
    if (this.#time.now() + wait > end) return
    this.#time.after(wait, () => {
      this.#send(index, engine)
      this.#reportLater(index, engine, every, every, end)
    })
  }

  #send (index: number, engine: FakeEngine): void {
    if (!engine.alive) {
      this.#time.after(deathDetectionMilliseconds, () => this.#learnDeath(index, engine))
      return
    }
    if (this.#randomness.fraction() < this.#world.news.cacheEventLoss) return
    const report = engine.report()
    const lag = this.#lagFactor * drawWait(this.#world.news.loadReportLagMilliseconds, this.#randomness)
    this.#time.after(lag, () => {
      const known = this.#views[index]!
      if (known.report !== undefined && known.report.at >= report.at) return
      this.#views[index] = { ...known, healthy: true, report, reportedAt: this.#time.now() }
    })
  }

  #learnDeath (index: number, engine: FakeEngine): void {
    if (engine.alive) return
    this.#views[index] = { ...this.#views[index]!, healthy: false }
  }
}
