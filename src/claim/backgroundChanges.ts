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

const firstPauseMilliseconds = 200
const longestPauseMilliseconds = 10_000
const patienceMilliseconds = 2_000
const mostWaiting = 10_000

type WaitingChange = Omit<ClaimChange, 'until'>

/** The changes of one daemon that are still to be made. */
export class BackgroundChanges {
  readonly #table: ClaimTable
  readonly #clock: Clock
  readonly #steps: ClaimSteps
  readonly #stopping = new AbortController()
  #waiting: WaitingChange[] = []
  #running: Promise<void> | undefined
  #dropped = 0

  constructor (table: ClaimTable, clock: Clock, steps: ClaimSteps) {
    this.#table = table
    this.#clock = clock
    this.#steps = steps
  }

  /** Changes not made yet. */
  get waiting (): number {
    return this.#waiting.length
  }

  /** Changes given up because too many waited. */
  get dropped (): number {
    return this.#dropped
  }

  /** Makes a change as soon as the store takes it. */
  add (change: WaitingChange): void {
    if (this.#waiting.length >= mostWaiting) {
      this.#dropped += 1
      return
    }
    this.#waiting.push(change)
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
    let pause = firstPauseMilliseconds
    while (this.#waiting.length > 0 && !this.#stopping.signal.aborted) {
      const outcome = await this.#tryFirst()
      if (outcome.is === 'written' || outcome.is === 'barred') {
        this.#waiting.shift()
        pause = firstPauseMilliseconds
        continue
      }
      await this.#steps.wait(ClaimPoint.Pause, () => this.#clock.sleep(pause, this.#stopping.signal))
      pause = Math.min(pause * 2, longestPauseMilliseconds)
    }
    this.#running = undefined
  }

  async #tryFirst (): Promise<ChangeOutcome> {
    const first = this.#waiting[0]
    if (first === undefined) return { is: 'barred', current: undefined }
    return this.#table.change({ ...first, until: this.#clock.now() + patienceMilliseconds })
  }
}
