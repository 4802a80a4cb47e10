/**
 * The decisions measured against baselines in virtual time:
 *   node scripts/run.mjs bench/decisions.ts --seed 101 [--seeds 5] [--scenario NAME] [--world FILE] [--workers 8] [--json]
 * Seeds 1 to 5 are for tuning, 101 and up for tests. A run starts itself again as worker threads.
 */
import { readFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads'
import { type Job, jobPlace, type JobResult, JobRunner, jobsOf } from './jobs.ts'
import { measureHerding, printHerding } from './herding.ts'
import { printTable, rowsOf } from './report.ts'
import { scenarios } from './scenario.ts'
import { readWorld } from './world.ts'
import { fullLoad } from './worldLoad.ts'

/** What a worker is told: a job, or one seed of the herding scenario. */
type Task = { readonly type: 'job', readonly job: Job } | { readonly type: 'herding', readonly seed: number }

const herdingName = 'herding'

async function main (): Promise<void> {
  const startedAt = performance.now()
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      seeds: { type: 'string', default: '5' },
      scenario: { type: 'string' },
      world: { type: 'string', default: 'bench/workloads.toml' },
      workers: { type: 'string', default: '8' },
      json: { type: 'boolean', default: false }
    }
  })
  const text = readFileSync(values.world, 'utf8')
  const world = readWorld(text)
  const known: string[] = [...scenarios.map(scenario => scenario.name), herdingName]
  const wanted = values.scenario?.split(',') ?? known
  const unknown = wanted.find(name => !known.includes(name))
  if (unknown !== undefined) {
    console.error(`no scenario ${unknown}; there are ${known.join(', ')}`)
    process.exitCode = 2
    return
  }
  const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => Number(values.seed) + index)
  const load = Object.fromEntries([...world.users].map(([name, user]) => [name, fullLoad(world, user).requestsPerSecond]))
  for (const [name, rate] of Object.entries(load)) console.log(`100 % load of ${name}: ${rate.toFixed(1)} model requests a second`)
  const names = scenarios.map(scenario => scenario.name).filter(name => wanted.includes(name))
  const herding: Task[] = wanted.includes(herdingName) ? seeds.map(seed => ({ type: 'herding', seed })) : []
  const jobs: Task[] = jobsOf(world, names, seeds).map(job => ({ type: 'job', job }))
  const answers = await share([...herding, ...jobs], text, Number(values.workers))
  const rows = rowsOf(answers.jobs)
  printTable(rows)
  printHerding(answers.herding.flat())
  const seconds = (performance.now() - startedAt) / 1_000
  console.log(`${answers.jobs.length} runs, seeds ${seeds.join(' ')}, ${seconds.toFixed(1)} s`)
  if (values.json) console.log(JSON.stringify({ seeds, load, seconds, results: rows, herding: answers.herding.flat() }))
}

interface Answers {
  readonly jobs: JobResult[]
  readonly herding: ReturnType<typeof measureHerding>[]
}

/** Gives the tasks out to workers, one at a time. */
async function share (tasks: readonly Task[], world: string, count: number): Promise<Answers> {
  const left = [...tasks]
  const answers: Answers = { jobs: [], herding: [] }
  await Promise.all(Array.from({ length: Math.min(count, tasks.length) }, () => new Promise<void>((resolve, reject) => {
    const worker = new Worker(__filename, { workerData: { world } })
    const next = () => {
      const task = left.shift()
      if (task !== undefined) return worker.postMessage(task)
      worker.terminate().then(() => resolve(), reject)
    }
    worker.on('error', reject)
    worker.on('message', (answer: JobResult | ReturnType<typeof measureHerding>) => {
      if ('job' in answer) answers.jobs.push(answer)
      else answers.herding.push(answer)
      next()
    })
    next()
  })))
  const place = (result: JobResult) => tasks.findIndex(task => task.type === 'job' && jobPlace(task.job) === jobPlace(result.job))
  return { herding: answers.herding, jobs: answers.jobs.sort((left, right) => place(left) - place(right)) }
}

function work ({ world }: { readonly world: string }): void {
  const read = readWorld(world)
  const runner = new JobRunner(read)
  parentPort!.on('message', (task: Task) => {
    parentPort!.postMessage(task.type === 'job' ? runner.run(task.job) : measureHerding(read, task.seed))
  })
}

if (isMainThread) main().catch(error => { throw error })
else work(workerData as { readonly world: string })
