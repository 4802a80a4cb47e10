/**
 * Tells other gateways what the store told this one. A gateway that is asked follows the store
 * itself, so an answer is never older than it says.
 */
import type { Clock } from '../contract/index.ts'
import type { Link } from '../link/index.ts'
import { type RelayNews, type RelayQuestion, relayedNews } from './relayMessage.ts'
import type { ReplicaFollower } from './replicaFollower.ts'

/** A gateway counts as asked for so long after a question. */
const askedMilliseconds = 5_000

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
  readonly #waiting = new Set<AbortController>()
  #askedAt = Number.NEGATIVE_INFINITY

  constructor (options: ReplicaRelayOptions) {
    this.#options = options
    options.link.handle(relayedNews, async question => await this.#answer(question))
  }

  /** Whether others follow the store through this gateway. */
  get isAsked (): boolean {
    return this.#options.clock.now() - this.#askedAt < askedMilliseconds
  }

  /** To be called after each change of a table: those who wait are answered. */
  changed (): void {
    for (const waiting of this.#waiting) waiting.abort()
    this.#waiting.clear()
  }

  async #answer ({ versions, waitMilliseconds }: RelayQuestion): Promise<RelayNews> {
    const { clock } = this.#options
    this.#askedAt = clock.now()
    if (!this.#hasNews(versions)) await this.#nextChange(waitMilliseconds)
    return this.#news(versions)
  }

  async #nextChange (waitMilliseconds: number): Promise<void> {
    const change = new AbortController()
    this.#waiting.add(change)
    await this.#options.clock.sleep(waitMilliseconds, change.signal)
    this.#waiting.delete(change)
  }

  #hasNews (versions: RelayQuestion['versions']): boolean {
    return this.#news(versions).tables.some(({ rows, isWhole }) => isWhole || rows.length > 0)
  }

  #news (versions: RelayQuestion['versions']): RelayNews {
    const { clock, follower, tables } = this.#options
    return {
      tables: tables.map(table => {
        const replica = follower.replica(table)
        return { table, version: replica.version, ...replica.changesSince(versions[table] ?? replica.version) }
      }),
      ageMilliseconds: clock.now() - follower.heardAt,
      storeTime: follower.storeTime
    }
  }
}
