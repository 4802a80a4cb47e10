/**
 * The news that reaches a data centre's deciders: each engine's report, late and sometimes lost. All
 * deciders of a data centre see one report at one moment, which is the hardest case for herding.
 */
import type { LoadReport, Randomness } from '../src/contract/index.ts'
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

  /** Sends a report on its way to this data centre; some are lost. */
  send (index: number, report: LoadReport): void {
    if (this.#randomness.fraction() < this.#world.news.cacheEventLoss) return
    const lag = this.#lagFactor * drawWait(this.#world.news.loadReportLagMilliseconds, this.#randomness)
    this.#time.after(lag, () => {
      const known = this.#views[index]!
      if (known.report !== undefined && known.report.at >= report.at) return
      this.#views[index] = { ...known, healthy: true, report, reportedAt: this.#time.now() }
    })
  }

  /** An engine gave no answer. */
  miss (index: number): void {
    this.#time.after(deathDetectionMilliseconds, () => this.#learnDeath(index, this.#engines[index]!))
  }

  #learnDeath (index: number, engine: FakeEngine): void {
    if (engine.alive) return
    this.#views[index] = { ...this.#views[index]!, healthy: false }
  }
}

/** What the reports of a run depend on. */
export interface ReportPlan {
  readonly engines: readonly FakeEngine[]
  readonly feeds: readonly NewsFeed[]
  readonly everyMilliseconds: number
  readonly endMilliseconds: number
}

/** Has every engine report to all data centres, each at its own beat. */
export function startReports (plan: ReportPlan, time: VirtualTime, randomness: Randomness): void {
  plan.engines.forEach((engine, index) => reportAfter(plan, time, engine, index, plan.everyMilliseconds * randomness.fraction()))
}

function reportAfter (plan: ReportPlan, time: VirtualTime, engine: FakeEngine, index: number, wait: number): void {
  if (time.now() + wait > plan.endMilliseconds) return
  time.after(wait, () => {
    if (engine.alive) tellAll(plan.feeds, index, engine.report())
    else plan.feeds.forEach(feed => feed.miss(index))
    reportAfter(plan, time, engine, index, plan.everyMilliseconds)
  })
}

function tellAll (feeds: readonly NewsFeed[], index: number, report: LoadReport): void {
  for (const feed of feeds) feed.send(index, report)
}
