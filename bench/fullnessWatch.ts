/** How unevenly streams lie on the engines, seen from outside by their true state, which no policy reads. */
import type { FakeEngine } from './engine.ts'
import { measuredFromMilliseconds, measuredUntilMilliseconds } from './scenario.ts'
import type { VirtualTime } from './virtualTime.ts'

const everyMilliseconds = 250

/** Looks at all engines every so often while requests are measured. */
export class FullnessWatch {
  readonly #ratios: number[] = []

  constructor (engines: readonly FakeEngine[], time: VirtualTime) {
    const pools = poolsOf(engines)
    for (let at = measuredFromMilliseconds; at < measuredUntilMilliseconds; at += everyMilliseconds) time.at(at, () => this.#look(pools))
  }

  /** The mean of the fullest engine's load over its pool's mean. */
  mean (): number {
    return this.#ratios.reduce((sum, ratio) => sum + ratio, 0) / Math.max(1, this.#ratios.length)
  }

  #look (pools: readonly (readonly FakeEngine[])[]): void {
    for (const pool of pools) {
      const loads = pool.map(engine => engine.fullness)
      const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length
      if (mean > 0) this.#ratios.push(Math.max(...loads) / mean)
    }
  }
}

function poolsOf (engines: readonly FakeEngine[]): FakeEngine[][] {
  const pools = new Map<string, FakeEngine[]>()
  for (const engine of engines) pools.set(engine.parts.versionName, [...pools.get(engine.parts.versionName) ?? [], engine])
  return [...pools.values()]
}
