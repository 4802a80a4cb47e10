/**
 * Changes that a request no longer waits for: releases of claims under which nothing was sent, and
 * answers whose recording gave no reply. One loop tries them in turn and pauses as a whole while the
 * store is out, so that a daemon comes back to the store with one call and not with thousands. A
 * change that is dropped or dies with the process does no harm: its row stays as it is, and a repeat
 * is told that the outcome is unknown.
 */
import type { Clock } from '../contract/index.ts'
import { ClaimPoint, type ClaimSteps } from './claimPoint.ts'
import type { ChangeOutcome, ClaimChange, ClaimTable } from './claimTable.ts'

const initialBackoffMilliseconds = 200
const maximumBackoffMilliseconds = 10_000
const attemptTimeoutMilliseconds = 2_000
const maximumQueuedChanges = 10_000

type QueuedChange = Omit<ClaimChange, 'until'>

/** The changes of one daemon that are still to be made. */
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

  /** Changes not made yet. */
  get queuedCount (): number {
    return this.#queue.length
  }

  /** Changes given up because too many waited. */
  get droppedCount (): number {
    return this.#droppedCount
  }

  /** Makes a change as soon as the store takes it. */
  add (change: QueuedChange): void {
    if (this.#queue.length >= maximumQueuedChanges) {
      this.#droppedCount += 1
      return
    }
    this.#queue.push(change)
    this.#running ??= this.#run()
  }

  /** Tries what waits until a moment, then ends. */
  async stop (until: number): Promise<void> {
    const running = this.#running
    if (running === undefined) return
    const over = new AbortController()
    await Promise.race([running, this.#clock.sleep(until - this.#clock.now(), over.signal)])
    over.abort()
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
