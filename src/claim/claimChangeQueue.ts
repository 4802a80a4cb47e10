/**
 * Retries claim changes that a request no longer waits for: releases of claims under which nothing was
 * sent, and outcomes whose write got no reply. One loop applies them in order and backs off as a whole while
 * the store is unavailable, so that a daemon returns to the store with one call rather than thousands. A
 * change that is dropped or lost with the process is harmless: its row stays as it is, and a repeat is told
 * that the outcome is unknown.
 */
import { type Clock, withDeadline } from '../contract/index.ts'
import { ClaimPoint, type ClaimSteps } from './claimPoint.ts'
import type { ChangeOutcome, ClaimChange, ClaimTable } from './claimTable.ts'

const initialBackoffMilliseconds = 200
const maximumBackoffMilliseconds = 10_000
const attemptTimeoutMilliseconds = 2_000
const maximumQueuedChanges = 10_000

type QueuedChange = Omit<ClaimChange, 'until'>

/** One daemon's queue of changes to retry in the background. */
export class ClaimChangeQueue {
  readonly #table: ClaimTable
  readonly #clock: Clock
  readonly #steps: ClaimSteps
  readonly #stopping = new AbortController()
  #queue: QueuedChange[] = []
  #running: Promise<void> | undefined
  #droppedCount = 0

  constructor (table: ClaimTable, clock: Clock, steps: ClaimSteps) {
    this.#table = table
    this.#clock = clock
    this.#steps = steps
  }

  /** Number of queued changes. */
  get queuedCount (): number {
    return this.#queue.length
  }

  /** Number of changes dropped because the queue was full. */
  get droppedCount (): number {
    return this.#droppedCount
  }

  /** Queues a change to be applied when the store is available, or drops it if the queue is full. */
  add (change: QueuedChange): void {
    if (this.#queue.length >= maximumQueuedChanges) {
      this.#droppedCount += 1
      return
    }
    this.#queue.push(change)
    this.#running ??= this.#run()
  }

  /** Keeps trying queued changes until the given time, then stops. */
  async stop (until: number): Promise<void> {
    if (this.#running === undefined) return
    await withDeadline(this.#clock, until, this.#running)
    this.#stopping.abort()
  }

  async #run (): Promise<void> {
    let backoffMilliseconds = initialBackoffMilliseconds
    while (this.#queue.length > 0 && !this.#stopping.signal.aborted) {
      const outcome = await this.#applyFirst()
      if (outcome.kind === 'written' || outcome.kind === 'barred') {
        this.#queue.shift()
        backoffMilliseconds = initialBackoffMilliseconds
        continue
      }
      await this.#steps.wait(ClaimPoint.Pause, () => this.#clock.sleep(backoffMilliseconds, this.#stopping.signal))
      backoffMilliseconds = Math.min(backoffMilliseconds * 2, maximumBackoffMilliseconds)
    }
    this.#running = undefined
  }

  async #applyFirst (): Promise<ChangeOutcome> {
    const first = this.#queue[0]
    if (first === undefined) return { kind: 'barred', current: undefined }
    return this.#table.change({ ...first, until: this.#clock.now() + attemptTimeoutMilliseconds })
  }
}
