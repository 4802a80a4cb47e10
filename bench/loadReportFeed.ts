/**
 * The news that reaches a data centre's deciders: each engine's report, late and sometimes lost. All
 * deciders of a data centre see one report at one moment, which is the hardest case for herding.
 */
import type { LoadReport, Randomness } from '../src/contract/index.ts'
import type { EndpointView } from '../src/choice/index.ts'
import type { SimulatedEngine } from './simulatedEngine.ts'
import { describeEndpoint } from './fleet.ts'
import type { VirtualTime } from './virtualTime.ts'
import { drawDelay, type World } from './world.ts'

/** Milliseconds until an engine that does not answer is taken for dead. */
const failureDetectionMilliseconds = 2_000

/** One data centre's news of all engines. */
export class LoadReportFeed {
  readonly #views: EndpointView[]
  readonly #engines: readonly SimulatedEngine[]
  readonly #time: VirtualTime
  readonly #randomness: Randomness
  readonly #world: World
  readonly #lagFactor: number

  /** @param lagFactor how much later than the world's lag reports arrive */
  constructor (engines: readonly SimulatedEngine[], world: World, time: VirtualTime, randomness: Randomness, lagFactor: number) {
    this.#engines = engines
    this.#world = world
    this.#time = time
    this.#randomness = randomness
    this.#lagFactor = lagFactor
    this.#views = engines.map(engine => ({ endpoint: describeEndpoint(engine), healthy: true, leaving: false, report: engine.report(), reportedAt: 0 }))
  }

  /** What the deciders know now. */
  views (): readonly EndpointView[] {
    return this.#views
  }

  /** Sends a report on its way to this data centre; some are lost. */
  send (index: number, report: LoadReport): void {
    if (this.#randomness.fraction() < this.#world.reporting.reportLossProbability) return
    const lagMilliseconds = this.#lagFactor * drawDelay(this.#world.reporting.loadReportLagMilliseconds, this.#randomness)
    this.#time.after(lagMilliseconds, () => {
      const known = this.#views[index]!
      if (known.report !== undefined && known.report.at >= report.at) return
      this.#views[index] = { ...known, healthy: true, report, reportedAt: this.#time.now() }
    })
  }

  /** An engine gave no answer. */
  recordNoAnswer (index: number): void {
    this.#time.after(failureDetectionMilliseconds, () => this.#markUnhealthy(index, this.#engines[index]!))
  }

  #markUnhealthy (index: number, engine: SimulatedEngine): void {
    if (engine.isAlive) return
    this.#views[index] = { ...this.#views[index]!, healthy: false }
  }
}

/** What the reports of a run depend on. */
export interface ReportOptions {
  readonly engines: readonly SimulatedEngine[]
  readonly feeds: readonly LoadReportFeed[]
  readonly intervalMilliseconds: number
  readonly endMilliseconds: number
}

/** Has every engine report to all data centres, each at its own beat. */
export function startReports (options: ReportOptions, time: VirtualTime, randomness: Randomness): void {
  options.engines.forEach((engine, index) => scheduleReport(options, time, engine, index, options.intervalMilliseconds * randomness.fraction()))
}

function scheduleReport (options: ReportOptions, time: VirtualTime, engine: SimulatedEngine, index: number, delayMilliseconds: number): void {
  if (time.now() + delayMilliseconds > options.endMilliseconds) return
  time.after(delayMilliseconds, () => {
    if (engine.isAlive) sendToAll(options.feeds, index, engine.report())
    else options.feeds.forEach(feed => feed.recordNoAnswer(index))
    scheduleReport(options, time, engine, index, options.intervalMilliseconds)
  })
}

function sendToAll (feeds: readonly LoadReportFeed[], index: number, report: LoadReport): void {
  for (const feed of feeds) feed.send(index, report)
}
