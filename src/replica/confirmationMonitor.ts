/**
 * Logs when the store's last confirmation of the tables becomes old compared with the time in which changes must be in
 * force, and when it is recent again, so that a change that comes late can be traced to the hop that held it up.
 * Confirmations that arrived in a stall of the event loop are read before the age is judged.
 */
import { type Clock, Wait, sleepAfterInput } from '../contract/index.ts'
import type { Log, LogFields } from '../observe/index.ts'
import type { ReplicaFollower } from './replicaFollower.ts'

const checkIntervalMilliseconds = 250

export interface ConfirmationMonitorOptions {
  readonly follower: ReplicaFollower
  /** The version of the configuration in force; undefined before the first. */
  readonly configurationVersion: () => number | undefined
  /** Age from which a confirmation counts as stale. */
  readonly staleAfterMilliseconds: () => number
  readonly clock: Clock
  readonly log: Log
}

/** Watches the age of the confirmation until it is stopped. */
export class ConfirmationMonitor {
  readonly #options: ConfirmationMonitorOptions
  readonly #stopping = new AbortController()
  #staleSince: number | undefined

  constructor (options: ConfirmationMonitorOptions) {
    this.#options = options
  }

  /** Starts watching; returns at once. */
  start (): void {
    this.#run().catch(error => this.#options.log.error('confirmation_monitor_failed', { reason: String(error) }))
  }

  stop (): void {
    this.#stopping.abort()
  }

  async #run (): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      const wait = new Wait(this.#options.clock)
      await sleepAfterInput(this.#options.clock, checkIntervalMilliseconds, this.#stopping.signal)
      // After a stall the next confirmation is under way.
      if (wait.heldUpMilliseconds === 0) this.#check()
    }
  }

  #check (): void {
    const { clock, follower, log, staleAfterMilliseconds } = this.#options
    // A table that was never read has no age yet.
    if (!Number.isFinite(follower.ageMilliseconds)) return
    const isStale = follower.ageMilliseconds > staleAfterMilliseconds()
    if (isStale === (this.#staleSince !== undefined)) return
    if (this.#staleSince === undefined) {
      this.#staleSince = clock.now()
      return log.warn('confirmation_stale', this.#describe())
    }
    log.info('confirmation_recovered', { ...this.#describe(), milliseconds: Math.round(clock.now() - this.#staleSince) })
    this.#staleSince = undefined
  }

  #describe (): LogFields {
    const { configurationVersion, follower } = this.#options
    const confirmation = follower.stalestConfirmation
    return {
      settings: configurationVersion(),
      ageMilliseconds: Math.round(follower.ageMilliseconds),
      hop: confirmation?.hop,
      relay: confirmation?.relay
    }
  }
}
