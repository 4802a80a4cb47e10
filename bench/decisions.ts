/**
 * Compares the routing decisions with baselines in virtual time:
 *   node scripts/run.mjs bench/decisions.ts --seed 101 [--seeds 5] [--scenario NAME] [--world FILE] [--workers N] [--json]
 * Seeds 1 to 5 are for tuning, 101 and up for tests. The program also runs as its own worker threads.
 */
import { readFileSync } from 'node:fs'
import { availableParallelism } from 'node:os'
import { parseArgs } from 'node:util'
import { isMainThread, workerData } from 'node:worker_threads'
import { printHerding } from './herding.ts'
import { jobsOf } from './jobs.ts'
import { printTable, rowsOf } from './report.ts'
import { scenarios } from './scenario.ts'
import { serveTasks, WorkerPool } from './workerPool.ts'
import { readWorld } from './world.ts'
import { fullLoad } from './worldLoad.ts'

const herdingName = 'herding'

async function main (): Promise<void> {
  const startedAt = performance.now()
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      seeds: { type: 'string', default: '5' },
      scenario: { type: 'string' },
      world: { type: 'string', default: 'bench/workloads.toml' },
      workers: { type: 'string', default: String(Math.max(1, availableParallelism() - 1)) },
      json: { type: 'boolean', default: false }
    }
  })
  const worldText = readFileSync(values.world, 'utf8')
  const world = readWorld(worldText)
  const scenarioNames: string[] = [...scenarios.map(scenario => scenario.name), herdingName]
  const selected = values.scenario?.split(',') ?? scenarioNames
  const unknown = selected.find(name => !scenarioNames.includes(name))
  if (unknown !== undefined) {
    console.error(`unknown scenario ${unknown}; known scenarios: ${scenarioNames.join(', ')}`)
    process.exitCode = 2
    return
  }
  const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => Number(values.seed) + index)
  const load = Object.fromEntries([...world.users].map(([name, user]) => [name, fullLoad(world, user).requestsPerSecond]))
  for (const [name, rate] of Object.entries(load)) console.log(`100 % load of ${name}: ${rate.toFixed(1)} model requests per second`)
  const names = scenarios.map(scenario => scenario.name).filter(name => selected.includes(name))
  const workers = new WorkerPool(__filename, worldText, Number(values.workers))
  const herding = selected.includes(herdingName) ? workers.runHerding(seeds) : Promise.resolve([])
  const jobs = jobsOf(world, names, seeds)
  const results = await workers.runAll(jobs)
  const rows = rowsOf(results)
  printTable(rows)
  printHerding(await herding)
  await workers.stop()
  const seconds = (performance.now() - startedAt) / 1_000
  console.log(`${results.length} runs, seeds ${seeds.join(' ')}, ${seconds.toFixed(1)} s`)
  if (values.json) console.log(JSON.stringify({ seeds, load, seconds, results: rows, herding: await herding }))
}

if (isMainThread) main().catch(error => { throw error })
else serveTasks(workerData as string)
