/** Measures how unevenly load is spread over engines, from their true state, which policies cannot see. */
import type { SimulatedEngine } from './simulatedEngine.ts'
import { measuredFromMilliseconds, measuredUntilMilliseconds } from './scenario.ts'
import type { VirtualTime } from './virtualTime.ts'

const sampleIntervalMilliseconds = 250

/** Samples all engines periodically during the measurement window. */
export class LoadImbalanceMonitor {
  readonly #ratios: number[] = []

  constructor (engines: readonly SimulatedEngine[], time: VirtualTime) {
    const pools = poolsOf(engines)
    for (let at = measuredFromMilliseconds; at < measuredUntilMilliseconds; at += sampleIntervalMilliseconds) time.at(at, () => this.#sample(pools))
  }

  /** Maximum engine load divided by the mean load of its version's engines, averaged over samples and versions. */
  meanRatio (): number {
    return this.#ratios.reduce((sum, ratio) => sum + ratio, 0) / Math.max(1, this.#ratios.length)
  }

  #sample (pools: readonly (readonly SimulatedEngine[])[]): void {
    for (const pool of pools) {
      const loads = pool.map(engine => engine.loadRatio)
      const poolMean = loads.reduce((sum, load) => sum + load, 0) / loads.length
      if (poolMean > 0) this.#ratios.push(Math.max(...loads) / poolMean)
    }
  }
}

function poolsOf (engines: readonly SimulatedEngine[]): SimulatedEngine[][] {
  const pools = new Map<string, SimulatedEngine[]>()
  for (const engine of engines) pools.set(engine.options.versionName, [...pools.get(engine.options.versionName) ?? [], engine])
  return [...pools.values()]
}
