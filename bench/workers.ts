/**
 * Worker threads that run the bench's tasks. What learned policies practise is dear and the same for
 * all runs of a user and a seed, so it is made once, as a task of its own, and sent along.
 */
import { parentPort, Worker } from 'node:worker_threads'
import type { VersionDigest } from '../src/choice/index.ts'
import { type HerdingFigures, measureHerding } from './herding.ts'
import { type Job, type JobResult, JobRunner } from './jobs.ts'
import { VersionChoice } from './policies.ts'
import { readWorld } from './world.ts'

/** What a worker is told. */
type Task =
  | { readonly type: 'practice', readonly user: string, readonly seed: number }
  | { readonly type: 'job', readonly job: Job, readonly practice: readonly VersionDigest[] | undefined }
  | { readonly type: 'herding', readonly seed: number }

interface Waiting {
  readonly task: Task
  readonly resolve: (answer: unknown) => void
}

/** A fixed number of worker threads with one queue before them. */
export class Workers {
  readonly #workers: Worker[]
  readonly #idle: Worker[]
  readonly #waiting: Waiting[] = []
  readonly #practices = new Map<string, Promise<readonly VersionDigest[]>>()

  /**
   * @param program the bundle that calls `serveTasks` in a worker thread
   * @param world the text of the world
   */
  constructor (program: string, world: string, count: number) {
    this.#workers = Array.from({ length: count }, () => new Worker(program, { workerData: world }))
    this.#idle = [...this.#workers]
  }

  /** Runs jobs; the results come in the jobs' order. */
  async runAll (jobs: readonly Job[]): Promise<JobResult[]> {
    const learned = jobs.filter(job => job.pair.version === VersionChoice.Learned)
    learned.forEach(job => { this.#practice(job).catch(() => {}) })
    return await Promise.all(jobs.map(job => this.#run(job)))
  }

  /** Runs the herding scenario. */
  async herd (seeds: readonly number[]): Promise<HerdingFigures[]> {
    const answers = await Promise.all(seeds.map(seed => this.#do({ type: 'herding', seed })))
    return (answers as HerdingFigures[][]).flat()
  }

  /** Ends the threads. */
  async stop (): Promise<void> {
    await Promise.all(this.#workers.map(worker => worker.terminate()))
  }

  async #run (job: Job): Promise<JobResult> {
    const practice = job.pair.version === VersionChoice.Learned ? await this.#practice(job) : undefined
    return await this.#do({ type: 'job', job, practice }) as JobResult
  }

  #practice ({ user, seed }: Job): Promise<readonly VersionDigest[]> {
    const key = `${user}/${seed}`
    const known = this.#practices.get(key)
    if (known !== undefined) return known
    const made = this.#do({ type: 'practice', user, seed }) as Promise<readonly VersionDigest[]>
    this.#practices.set(key, made)
    return made
  }

  #do (task: Task): Promise<unknown> {
    return new Promise(resolve => {
      // What learns is the dearest and goes first, so that no worker is left with a long task.
      if (task.type === 'job' && task.practice === undefined) this.#waiting.push({ task, resolve })
      else this.#waiting.unshift({ task, resolve })
      this.#giveOut()
    })
  }

  #giveOut (): void {
    while (this.#idle.length > 0 && this.#waiting.length > 0) {
      const worker = this.#idle.pop()!
      const { task, resolve } = this.#waiting.shift()!
      worker.once('message', answer => {
        this.#idle.push(worker)
        resolve(answer)
        this.#giveOut()
      })
      worker.postMessage(task)
    }
  }
}

/** Does tasks in a worker thread. */
export function serveTasks (worldText: string): void {
  const world = readWorld(worldText)
  const runner = new JobRunner(world)
  parentPort!.on('message', (task: Task) => parentPort!.postMessage(answer(task)))

  function answer (task: Task): unknown {
    if (task.type === 'practice') return runner.practise(task.user, task.seed)
    if (task.type === 'herding') return measureHerding(world, task.seed)
    const { job, practice } = task
    if (practice !== undefined) runner.know(job.user, job.seed, practice)
    return runner.run(job)
  }
}
