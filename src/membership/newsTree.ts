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
import { type EndpointRow, endpointRecordOf, endpointRowOf, type VersionLists } from './endpointRow.ts'
import type { EndpointTable } from './endpointTable.ts'
import type { MemberTable } from './memberTable.ts'
import { type EndpointItem, endpointNews } from './messages.ts'

const tickMilliseconds = 700
const tellTimeoutMilliseconds = 400

/** What a `NewsTree` is made of. */
export interface NewsTreeParts {
  readonly link: Link
  readonly clock: Clock
  readonly randomness: Randomness
  readonly members: MemberTable
  readonly endpoints: EndpointTable
  readonly lists: VersionLists
}

/** News that waits to be told. */
interface Waiting {
  readonly reach: number
  readonly withVersions: boolean
}

export class NewsTree {
  readonly #parts: NewsTreeParts
  /** By places further on in the ring, then by endpoint. */
  readonly #waiting = new Map<number, Map<string, Waiting>>()

  constructor (parts: NewsTreeParts) {
    this.#parts = parts
    parts.link.handle(endpointNews, async ({ items }) => this.#receive(items))
  }

  /** Tells the whole data centre of an endpoint at the next tick. */
  tell (endpoint: string, withVersions: boolean): void {
    this.#schedule(endpoint, this.#parts.members.ring().length - 1, withVersions)
  }

  /** Tells the whole data centre of an endpoint at once. */
  tellNow (endpoint: string): void {
    this.tell(endpoint, true)
    this.#flush()
  }

  async run (stopping: AbortSignal): Promise<void> {
    const { clock, randomness } = this.#parts
    while (!stopping.aborted) {
      await clock.sleep(tickMilliseconds * (0.75 + 0.5 * randomness.fraction()), stopping)
      this.#flush()
    }
  }

  #receive (items: readonly EndpointItem[]): Record<string, never> {
    const { endpoints, lists } = this.#parts
    let isUrgent = false
    for (const [reach, row] of items) {
      const told = endpointRecordOf(row, lists)
      const wasLeaving = endpoints.record(told.name)?.leaving ?? false
      if (!endpoints.merge(told)) continue
      this.#schedule(told.name, reach, hasVersions(row))
      isUrgent ||= told.leaving && !wasLeaving
    }
    if (isUrgent) this.#flush()
    return {}
  }

  #schedule (endpoint: string, reach: number, withVersions: boolean): void {
    const longest = this.#parts.members.ring().length - 1
    for (const branch of branchesOf(Math.min(reach, longest))) {
      const items = this.#waiting.get(branch.places) ?? new Map<string, Waiting>()
      const earlier = items.get(endpoint)
      items.set(endpoint, {
        reach: Math.max(branch.reach, earlier?.reach ?? 0),
        withVersions: withVersions || (earlier?.withVersions ?? false)
      })
      this.#waiting.set(branch.places, items)
    }
  }

  #flush (): void {
    const waiting = [...this.#waiting]
    this.#waiting.clear()
    for (const [places, items] of waiting) this.#send(places, items)
  }

  /** A member that does not answer is passed over: the one after it takes the stretch. */
  async #send (places: number, waiting: ReadonlyMap<string, Waiting>): Promise<void> {
    if (await this.#sendTo(places, this.#itemsOf(waiting))) return
    const further = [...waiting].filter(([, { reach }]) => reach > 0).map(([name, { reach, withVersions }]) => [name, { reach: reach - 1, withVersions }] as const)
    if (further.length > 0) await this.#sendTo(places + 1, this.#itemsOf(new Map(further)))
  }

  async #sendTo (places: number, items: readonly EndpointItem[]): Promise<boolean> {
    const target = this.#memberAt(places)
    if (target === undefined) return true
    const told = await this.#parts.link.request(target, endpointNews, { items }, tellTimeoutMilliseconds)
    return told.ok
  }

  /** The rows as they are now: news that came while it waited goes along. */
  #itemsOf (waiting: ReadonlyMap<string, Waiting>): EndpointItem[] {
    const { endpoints, lists } = this.#parts
    return [...waiting].flatMap(([name, { reach, withVersions }]) => {
      const record = endpoints.record(name)
      return record === undefined ? [] : [[reach, endpointRowOf(record, lists, withVersions)] as const]
    })
  }

  #memberAt (places: number): LinkIdentity | undefined {
    const ring = this.#parts.members.ring()
    const own = ring.findIndex(member => member.name === this.#parts.link.self.name)
    const target = ring[(own + places) % ring.length]
    return own === -1 || target?.name === this.#parts.link.self.name ? undefined : target
  }
}

/** One member to tell, by places further on in the ring, and how many after it it tells in turn. */
export interface Branch {
  readonly places: number
  readonly reach: number
}

/**
 * The members to tell so that a stretch of the ring is told.
 *
 * @param reach how many members after this one are to be told
 * @example
 * branchesOf(5) // 1 place on with reach 0, 2 with reach 1, 4 with reach 1
 */
export function branchesOf (reach: number): Branch[] {
  const branches: Branch[] = []
  for (let places = 1; places <= reach; places *= 2) branches.push({ places, reach: Math.min(2 * places - 1, reach) - places })
  return branches
}

function hasVersions (row: EndpointRow): boolean {
  return row[12].length > 0
}
