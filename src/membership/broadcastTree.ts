/**
 * Broadcasts endpoint updates to every daemon of a data centre, with one message part per daemon. The
 * daemons form a ring ordered by name. The origin sends to the members at offsets 1, 2, 4, 8 …, each of
 * which covers the segment up to the next; they forward within their segment in the same way. Updates for
 * the same member are sent in one message at the next flush, so a daemon sends only a handful of messages
 * per flush, whatever the number of endpoints. A lost message costs one segment one report; the next
 * report and the endpoint's other poller make up for it.
 */
import { type Clock, type Randomness } from '../contract/index.ts'
import type { Link, LinkIdentity } from '../link/index.ts'
import { type EndpointRow, decodeEndpointRow, encodeEndpointRow, type VersionListCache } from './endpointRow.ts'
import type { EndpointTable } from './endpointTable.ts'
import type { MemberTable } from './memberTable.ts'
import { type EndpointUpdate, endpointUpdates } from './messages.ts'

const flushIntervalMilliseconds = 700
const sendTimeoutMilliseconds = 400

export interface BroadcastTreeOptions {
  readonly link: Link
  readonly clock: Clock
  readonly randomness: Randomness
  readonly members: MemberTable
  readonly endpoints: EndpointTable
  readonly versionLists: VersionListCache
}

/** An update that is queued for sending. */
interface PendingUpdate {
  readonly span: number
  readonly includesVersions: boolean
}

export class BroadcastTree {
  readonly #options: BroadcastTreeOptions
  /** By offset in the ring, then by endpoint. */
  readonly #pending = new Map<number, Map<string, PendingUpdate>>()

  constructor (options: BroadcastTreeOptions) {
    this.#options = options
    options.link.handle(endpointUpdates, async ({ items }) => this.#receive(items))
  }

  /** Broadcasts the endpoint's record to the data centre at the next flush. */
  broadcast (endpoint: string, includesVersions: boolean): void {
    this.#schedule(endpoint, this.#options.members.ring().length - 1, includesVersions)
  }

  /** Broadcasts the endpoint's record to the data centre at once. */
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

  /** If a member does not answer, its segment is handed to the member after it. */
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

  /** Encodes the records as they are now, including updates that arrived while these were queued. */
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

/** A member to send to, by its offset in the ring, and how many members after it it forwards to. */
export interface BroadcastBranch {
  readonly offset: number
  readonly span: number
}

/**
 * Returns the members to send to so that a segment of the ring is covered.
 *
 * @param span how many members after this one are to be reached
 * @example
 * broadcastBranches(5) // offset 1 with span 0, offset 2 with span 1, offset 4 with span 1
 */
export function broadcastBranches (span: number): BroadcastBranch[] {
  const branches: BroadcastBranch[] = []
  for (let offset = 1; offset <= span; offset *= 2) branches.push({ offset, span: Math.min(2 * offset - 1, span) - offset })
  return branches
}

function hasVersions (row: EndpointRow): boolean {
  return row[12].length > 0
}
