/**
 * Relays the store's changes to other gateways. A gateway that receives requests follows the store itself,
 * so a reply is never older than the age it states.
 */
import { type Clock, withDeadline } from '../contract/index.ts'
import type { Link } from '../link/index.ts'
import { type RelayReply, type RelayRequest, acceptsDeflated, decodePosition, relayRequest } from './relayMessages.ts'
import type { ReplicaFollower } from './replicaFollower.ts'
import { encodeRows } from './rowCompression.ts'
import type { ReplicaChanges } from './tableReplica.ts'

/** How long after a request a gateway counts as in use as a relay. */
const activeMilliseconds = 5_000

export interface ReplicaRelayOptions {
  readonly link: Link
  readonly follower: ReplicaFollower
  readonly tables: readonly string[]
  /** Number of known gateways, including this one. */
  readonly gatewayCount: () => number
  readonly clock: Clock
}

/** Replies to gateways that follow the store through this one. */
export class ReplicaRelay {
  readonly #options: ReplicaRelayOptions
  readonly #waiters = new Set<() => void>()
  #lastRequestAt = Number.NEGATIVE_INFINITY

  constructor (options: ReplicaRelayOptions) {
    this.#options = options
    options.link.handle(relayRequest, async request => await this.#handleRequest(request))
  }

  /** Whether other gateways follow the store through this one. */
  get isInUse (): boolean {
    return this.#options.clock.now() - this.#lastRequestAt < activeMilliseconds
  }

  /** To be called after each change of a table; answers the waiting requests. */
  notifyChange (): void {
    for (const wake of this.#waiters) wake()
    this.#waiters.clear()
  }

  async #handleRequest ({ versions, waitMilliseconds }: RelayRequest): Promise<RelayReply> {
    const { clock } = this.#options
    this.#lastRequestAt = clock.now()
    if (!this.#hasChanges(versions)) await this.#waitForChange(waitMilliseconds)
    return this.#replySince(versions)
  }

  async #waitForChange (waitMilliseconds: number): Promise<void> {
    const { clock } = this.#options
    let wake: () => void = () => undefined
    const changed = new Promise<void>(resolve => { wake = resolve })
    this.#waiters.add(wake)
    await withDeadline(clock, clock.now() + waitMilliseconds, changed)
    this.#waiters.delete(wake)
  }

  #hasChanges (versions: RelayRequest['versions']): boolean {
    return this.#options.tables.some(table => {
      const { isWhole, rows } = this.#changesOf(table, versions)
      return isWhole || rows.length > 0
    })
  }

  #changesOf (table: string, versions: RelayRequest['versions']): ReplicaChanges {
    const replica = this.#options.follower.replica(table)
    return replica.changesSince(decodePosition(versions, table) ?? replica)
  }

  #replySince (versions: RelayRequest['versions']): RelayReply {
    const { clock, follower, tables, gatewayCount } = this.#options
    const isDeflated = acceptsDeflated(versions)
    return {
      tables: tables.map(table => {
        const { version, epoch } = follower.replica(table)
        const { isWhole, rows } = this.#changesOf(table, versions)
        return { table, version, epoch, isWhole, rows: encodeRows(rows, isDeflated) }
      }),
      ageMilliseconds: clock.now() - follower.confirmedAt,
      storeTime: follower.storeTime,
      gatewayCount: gatewayCount()
    }
  }
}
