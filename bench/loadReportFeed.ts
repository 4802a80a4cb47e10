/**
 * Delivers the engines' load reports to the routers of a data centre, with delay and loss. All routers
 * of a data centre receive a report at the same time, which is the worst case for herding.
 */
import type { LoadReport, Randomness } from '../src/contract/index.ts'
import type { EndpointView } from '../src/choice/index.ts'
import type { SimulatedEngine } from './simulatedEngine.ts'
import { describeEndpoint } from './fleet.ts'
import type { VirtualTime } from './virtualTime.ts'
import { drawDelay, type World } from './world.ts'

/** Time until an engine that does not answer is considered unhealthy. */
const failureDetectionMilliseconds = 2_000

/** One data centre's view of all engines. */
export class LoadReportFeed {
  readonly #views: EndpointView[]
  readonly #engines: readonly SimulatedEngine[]
  readonly #time: VirtualTime
  readonly #randomness: Randomness
  readonly #world: World
  readonly #lagFactor: number

  /** @param lagFactor multiplies the reporting lag of the world */
  constructor (engines: readonly SimulatedEngine[], world: World, time: VirtualTime, randomness: Randomness, lagFactor: number) {
    this.#engines = engines
    this.#world = world
    this.#time = time
    this.#randomness = randomness
    this.#lagFactor = lagFactor
    this.#views = engines.map(engine => ({ endpoint: describeEndpoint(engine), healthy: true, leaving: false, report: engine.report(), reportedAt: 0 }))
  }

  /** The engines' state as the routers currently know it. */
  views (): readonly EndpointView[] {
    return this.#views
  }

  /** Delivers a report after a random lag, or drops it at the world's loss rate. Reports older than the known one are ignored. */
  send (index: number, report: LoadReport): void {
    if (this.#randomness.fraction() < this.#world.reporting.reportLossProbability) return
    const lagMilliseconds = this.#lagFactor * drawDelay(this.#world.reporting.loadReportLagMilliseconds, this.#randomness)
    this.#time.after(lagMilliseconds, () => {
      const known = this.#views[index]!
      if (known.report !== undefined && known.report.at >= report.at) return
      this.#views[index] = { ...known, healthy: true, report, reportedAt: this.#time.now() }
    })
  }

  /** Marks the engine unhealthy after the detection time, unless it has restarted by then. */
  recordNoAnswer (index: number): void {
    this.#time.after(failureDetectionMilliseconds, () => this.#markUnhealthy(index, this.#engines[index]!))
  }

  #markUnhealthy (index: number, engine: SimulatedEngine): void {
    if (engine.isAlive) return
    this.#views[index] = { ...this.#views[index]!, healthy: false }
  }
}

export interface ReportOptions {
  readonly engines: readonly SimulatedEngine[]
  readonly feeds: readonly LoadReportFeed[]
  readonly intervalMilliseconds: number
  readonly endMilliseconds: number
}

/** Starts the periodic reports of all engines to all data centres; each engine starts at a random offset within the interval. */
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
