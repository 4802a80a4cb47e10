/**
 * Worker threads that run the tasks of the bench. The pretraining of learned policies is expensive and
 * the same for all runs of a user and seed, so it is computed once, as a task of its own, and passed to
 * the tasks that need it.
 */
import { parentPort, Worker } from 'node:worker_threads'
import type { VersionDigest } from '../src/choice/index.ts'
import { type HerdingResult, measureHerding } from './herding.ts'
import { type Job, type JobResult, JobRunner } from './jobs.ts'
import { VersionPolicyName } from './policies.ts'
import { readWorld } from './world.ts'

/** A message to a worker thread. */
type Task =
  | { readonly kind: 'practice', readonly user: string, readonly seed: number }
  | { readonly kind: 'job', readonly job: Job, readonly pretraining: readonly VersionDigest[] | undefined }
  | { readonly kind: 'herding', readonly seed: number }

interface QueuedTask {
  readonly task: Task
  readonly resolve: (answer: unknown) => void
}

/** A fixed number of worker threads with a shared queue. */
export class WorkerPool {
  readonly #workers: Worker[]
  readonly #idle: Worker[]
  readonly #queue: QueuedTask[] = []
  readonly #pretrainings = new Map<string, Promise<readonly VersionDigest[]>>()

  /**
   * @param program the bundle that calls `serveTasks` in a worker thread
   * @param worldText the TOML text of the world
   */
  constructor (program: string, worldText: string, count: number) {
    this.#workers = Array.from({ length: count }, () => new Worker(program, { workerData: worldText }))
    this.#idle = [...this.#workers]
  }

  /** Runs jobs; the results are in the order of the jobs. */
  async runAll (jobs: readonly Job[]): Promise<JobResult[]> {
    const learned = jobs.filter(job => job.pair.version === VersionPolicyName.Learned)
    learned.forEach(job => { this.#pretraining(job).catch(() => {}) })
    return await Promise.all(jobs.map(job => this.#runJob(job)))
  }

  /** Runs the herding scenario for each seed. */
  async runHerding (seeds: readonly number[]): Promise<HerdingResult[]> {
    const answers = await Promise.all(seeds.map(seed => this.#enqueue({ kind: 'herding', seed })))
    return (answers as HerdingResult[][]).flat()
  }

  /** Terminates the threads. */
  async stop (): Promise<void> {
    await Promise.all(this.#workers.map(worker => worker.terminate()))
  }

  async #runJob (job: Job): Promise<JobResult> {
    const pretraining = job.pair.version === VersionPolicyName.Learned ? await this.#pretraining(job) : undefined
    return await this.#enqueue({ kind: 'job', job, pretraining }) as JobResult
  }

  #pretraining ({ user, seed }: Job): Promise<readonly VersionDigest[]> {
    const key = `${user}/${seed}`
    const known = this.#pretrainings.get(key)
    if (known !== undefined) return known
    const pretraining = this.#enqueue({ kind: 'practice', user, seed }) as Promise<readonly VersionDigest[]>
    this.#pretrainings.set(key, pretraining)
    return pretraining
  }

  #enqueue (task: Task): Promise<unknown> {
    return new Promise(resolve => {
      // Tasks of learned policies take longest and go first, so that no worker is left with a long task at the end.
      if (task.kind === 'job' && task.pretraining === undefined) this.#queue.push({ task, resolve })
      else this.#queue.unshift({ task, resolve })
      this.#dispatch()
    })
  }

  #dispatch (): void {
    while (this.#idle.length > 0 && this.#queue.length > 0) {
      const worker = this.#idle.pop()!
      const { task, resolve } = this.#queue.shift()!
      worker.once('message', answer => {
        this.#idle.push(worker)
        resolve(answer)
        this.#dispatch()
      })
      worker.postMessage(task)
    }
  }
}

/** Handles the tasks that a worker thread receives. */
export function serveTasks (worldText: string): void {
  const world = readWorld(worldText)
  const runner = new JobRunner(world)
  parentPort!.on('message', (task: Task) => parentPort!.postMessage(runTask(task)))

  function runTask (task: Task): unknown {
    if (task.kind === 'practice') return runner.pretrain(task.user, task.seed)
    if (task.kind === 'herding') return measureHerding(world, task.seed)
    const { job, pretraining } = task
    if (pretraining !== undefined) runner.setPretraining(job.user, job.seed, pretraining)
    return runner.run(job)
  }
}
