/**
 * Brings news of endpoints to every daemon of a data centre with one message part for each. The
 * daemons stand in a ring by name. Who has news tells the members 1, 2, 4, 8 … places further on,
 * each together with the stretch up to the next; they do the same within their stretch. News that
 * waits for the same member goes in one message at the next tick, so a daemon sends a handful of
 * messages a tick whatever the number of endpoints. A lost message costs one stretch one report;
 * the next report and the endpoint's other polling daemon make up for it.
 */
import { type Clock, type Randomness } from '../contract/index.ts'
import type { Link, LinkIdentity } from '../link/index.ts'
import { type EndpointRow, decodeEndpointRow, encodeEndpointRow, type VersionListCache } from './endpointRow.ts'
import type { EndpointTable } from './endpointTable.ts'
import type { MemberTable } from './memberTable.ts'
import { type EndpointUpdate, endpointUpdates } from './messages.ts'

const flushIntervalMilliseconds = 700
const sendTimeoutMilliseconds = 400

/** What a `BroadcastTree` is made of. */
export interface BroadcastTreeOptions {
  readonly link: Link
  readonly clock: Clock
  readonly randomness: Randomness
  readonly members: MemberTable
  readonly endpoints: EndpointTable
  readonly versionLists: VersionListCache
}

/** News that waits to be told. */
interface PendingUpdate {
  readonly span: number
  readonly includesVersions: boolean
}

export class BroadcastTree {
  readonly #options: BroadcastTreeOptions
  /** By places further on in the ring, then by endpoint. */
  readonly #pending = new Map<number, Map<string, PendingUpdate>>()

  constructor (options: BroadcastTreeOptions) {
    this.#options = options
    options.link.handle(endpointUpdates, async ({ items }) => this.#receive(items))
  }

  /** Tells the whole data centre of an endpoint at the next tick. */
  broadcast (endpoint: string, includesVersions: boolean): void {
    this.#schedule(endpoint, this.#options.members.ring().length - 1, includesVersions)
  }

  /** Tells the whole data centre of an endpoint at once. */
  broadcastNow (endpoint: string): void {
    this.broadcast(endpoint, true)
    this.#flush()
  }

  async run (stopping: AbortSignal): Promise<void> {
    const { clock, randomness } = this.#options
    while (!stopping.aborted) {
      await clock.sleep(flushIntervalMilliseconds * (0.75 + 0.5 * randomness.fraction()), stopping)
      this.#flush()
    }
  }

  #receive (updates: readonly EndpointUpdate[]): Record<string, never> {
    const { endpoints, versionLists } = this.#options
    let isUrgent = false
    for (const [span, row] of updates) {
      const incoming = decodeEndpointRow(row, versionLists)
      const wasLeaving = endpoints.record(incoming.name)?.leaving ?? false
      if (!endpoints.merge(incoming)) continue
      this.#schedule(incoming.name, span, hasVersions(row))
      isUrgent ||= incoming.leaving && !wasLeaving
    }
    if (isUrgent) this.#flush()
    return {}
  }

  #schedule (endpoint: string, span: number, includesVersions: boolean): void {
    const maximumSpan = this.#options.members.ring().length - 1
    for (const branch of broadcastBranches(Math.min(span, maximumSpan))) {
      const pending = this.#pending.get(branch.offset) ?? new Map<string, PendingUpdate>()
      const previous = pending.get(endpoint)
      pending.set(endpoint, {
        span: Math.max(branch.span, previous?.span ?? 0),
        includesVersions: includesVersions || (previous?.includesVersions ?? false)
      })
      this.#pending.set(branch.offset, pending)
    }
  }

  #flush (): void {
    const pending = [...this.#pending]
    this.#pending.clear()
    for (const [offset, updates] of pending) this.#send(offset, updates)
  }

  /** A member that does not answer is passed over: the one after it takes the stretch. */
  async #send (offset: number, updates: ReadonlyMap<string, PendingUpdate>): Promise<void> {
    if (await this.#sendTo(offset, this.#encodeUpdates(updates))) return
    const remaining = [...updates].filter(([, { span }]) => span > 0).map(([name, { span, includesVersions }]) => [name, { span: span - 1, includesVersions }] as const)
    if (remaining.length > 0) await this.#sendTo(offset + 1, this.#encodeUpdates(new Map(remaining)))
  }

  async #sendTo (offset: number, updates: readonly EndpointUpdate[]): Promise<boolean> {
    const target = this.#memberAtOffset(offset)
    if (target === undefined) return true
    const reply = await this.#options.link.request(target, endpointUpdates, { items: updates }, sendTimeoutMilliseconds)
    return reply.ok
  }

  /** The rows as they are now: news that came while it waited goes along. */
  #encodeUpdates (updates: ReadonlyMap<string, PendingUpdate>): EndpointUpdate[] {
    const { endpoints, versionLists } = this.#options
    return [...updates].flatMap(([name, { span, includesVersions }]) => {
      const record = endpoints.record(name)
      return record === undefined ? [] : [[span, encodeEndpointRow(record, versionLists, includesVersions)] as const]
    })
  }

  #memberAtOffset (offset: number): LinkIdentity | undefined {
    const ring = this.#options.members.ring()
    const ownIndex = ring.findIndex(member => member.name === this.#options.link.self.name)
    const target = ring[(ownIndex + offset) % ring.length]
    return ownIndex === -1 || target?.name === this.#options.link.self.name ? undefined : target
  }
}

/** One member to tell, by places further on in the ring, and how many after it it tells in turn. */
export interface BroadcastBranch {
  readonly offset: number
  readonly span: number
}

/**
 * The members to tell so that a stretch of the ring is told.
 *
 * @param span how many members after this one are to be told
 * @example
 * broadcastBranches(5) // 1 place on with reach 0, 2 with reach 1, 4 with reach 1
 */
export function broadcastBranches (span: number): BroadcastBranch[] {
  const branches: BroadcastBranch[] = []
  for (let offset = 1; offset <= span; offset *= 2) branches.push({ offset, span: Math.min(2 * offset - 1, span) - offset })
  return branches
}

function hasVersions (row: EndpointRow): boolean {
  return row[12].length > 0
}
