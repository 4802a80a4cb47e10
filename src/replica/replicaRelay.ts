/**
 * Tells other gateways what the store told this one. A gateway that is asked follows the store
 * itself, so an answer is never older than it says.
 */
import type { Clock } from '../contract/index.ts'
import type { Link } from '../link/index.ts'
import { type RelayReply, type RelayRequest, relayRequest } from './relayMessages.ts'
import type { ReplicaFollower } from './replicaFollower.ts'

/** A gateway counts as asked for so long after a question. */
const activeMilliseconds = 5_000

/** What a relay is made of. */
export interface ReplicaRelayOptions {
  readonly link: Link
  readonly follower: ReplicaFollower
  readonly tables: readonly string[]
  readonly clock: Clock
}

/** One gateway's answers to others that follow the store through it. */
export class ReplicaRelay {
  readonly #options: ReplicaRelayOptions
  readonly #waiters = new Set<AbortController>()
  #lastRequestAt = Number.NEGATIVE_INFINITY

  constructor (options: ReplicaRelayOptions) {
    this.#options = options
    options.link.handle(relayRequest, async question => await this.#handleRequest(question))
  }

  /** Whether others follow the store through this gateway. */
  get isInUse (): boolean {
    return this.#options.clock.now() - this.#lastRequestAt < activeMilliseconds
  }

  /** To be called after each change of a table: those who wait are answered. */
  notifyChange (): void {
    for (const waiter of this.#waiters) waiter.abort()
    this.#waiters.clear()
  }

  async #handleRequest ({ versions, waitMilliseconds }: RelayRequest): Promise<RelayReply> {
    const { clock } = this.#options
    this.#lastRequestAt = clock.now()
    if (!this.#hasChanges(versions)) await this.#waitForChange(waitMilliseconds)
    return this.#replySince(versions)
  }

  async #waitForChange (waitMilliseconds: number): Promise<void> {
    const waiter = new AbortController()
    this.#waiters.add(waiter)
    await this.#options.clock.sleep(waitMilliseconds, waiter.signal)
    this.#waiters.delete(waiter)
  }

  #hasChanges (versions: RelayRequest['versions']): boolean {
    return this.#replySince(versions).tables.some(({ rows, isWhole }) => isWhole || rows.length > 0)
  }

  #replySince (versions: RelayRequest['versions']): RelayReply {
    const { clock, follower, tables } = this.#options
    return {
      tables: tables.map(table => {
        const replica = follower.replica(table)
        return { table, version: replica.version, ...replica.changesSince(versions[table] ?? replica.version) }
      }),
      ageMilliseconds: clock.now() - follower.confirmedAt,
      storeTime: follower.storeTime
    }
  }
}
