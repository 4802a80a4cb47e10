/**
 * Reads the load of endpoints. Each engine is polled by two daemons of its data centre, the same for
 * all by rendezvous order, so that its load does not grow with the daemons and one frozen daemon
 * does not hide it. Their polls together bring about one report a second.
 */
import { type Clock, type EndpointDescription, EndpointKind, type LoadReport, type Randomness, type Result } from '../contract/index.ts'
import type { LinkIdentity } from '../link/index.ts'
import { recordOfReport } from './endpointRecord.ts'
import type { EndpointTable } from './endpointTable.ts'
import type { MemberTable } from './memberTable.ts'
import type { NewsTree } from './newsTree.ts'
import { PollerChoice } from './pollerChoice.ts'

const pollMilliseconds = 2_000
const reportTimeoutMilliseconds = 900
/** The list of versions goes along with the first reports that show it and then with each so-manyth. */
const reportsWithNewVersions = 3
const reportsPerVersions = 8

/** Reads the load of engines; the daemons' engine client fits. */
export interface EndpointReporter {
  report (endpoint: EndpointDescription, signal: AbortSignal): Promise<Result<LoadReport, unknown>>
}

/** What an `EndpointPoller` is made of. */
export interface EndpointPollerParts {
  readonly self: LinkIdentity
  readonly clock: Clock
  readonly randomness: Randomness
  readonly engines: EndpointReporter
  /** All endpoints that the settings name. */
  readonly endpoints: () => readonly EndpointDescription[]
  readonly members: MemberTable
  readonly table: EndpointTable
  readonly news: NewsTree
}

interface Assignment {
  readonly ring: readonly LinkIdentity[]
  readonly endpoints: readonly EndpointDescription[]
  readonly own: readonly EndpointDescription[]
}

interface Shown {
  readonly versions: string
  readonly reports: number
}

export class EndpointPoller {
  readonly #parts: EndpointPollerParts
  readonly #shown = new Map<string, Shown>()
  #assignment: Assignment | undefined

  constructor (parts: EndpointPollerParts) {
    this.#parts = parts
  }

  async run (stopping: AbortSignal): Promise<void> {
    const { clock, randomness, table } = this.#parts
    while (!stopping.aborted) {
      const endpoints = this.#parts.endpoints()
      if (endpoints.length > 0) table.retain(new Set(endpoints.map(endpoint => endpoint.name)))
      const startedAt = clock.now()
      await Promise.all(this.#own(endpoints).map(endpoint => this.#poll(endpoint)))
      const pause = pollMilliseconds * (0.9 + 0.2 * randomness.fraction())
      await clock.sleep(startedAt + pause - clock.now(), stopping)
    }
  }

  async #poll (endpoint: EndpointDescription): Promise<void> {
    const { news, table } = this.#parts
    const report = await this.#report(endpoint)
    if (report === undefined) {
      if (table.fail(endpoint.name)) news.tell(endpoint.name, false)
      return
    }
    const wasLeaving = table.record(endpoint.name)?.leaving ?? false
    if (!table.merge(recordOfReport(endpoint.name, report))) return
    const isNowLeaving = table.record(endpoint.name)?.leaving ?? false
    if (isNowLeaving && !wasLeaving) news.tellNow(endpoint.name)
    else news.tell(endpoint.name, this.#showsVersions(endpoint.name, report))
  }

  async #report (endpoint: EndpointDescription): Promise<LoadReport | undefined> {
    const { clock, engines } = this.#parts
    const late = new AbortController()
    const done = new AbortController()
    clock.sleep(reportTimeoutMilliseconds, done.signal).then(() => late.abort('late'))
    const report = await engines.report(endpoint, late.signal)
    // A reason spares the making of an exception that nobody reads.
    done.abort('done')
    return report.ok ? { ...report.val, at: Math.round(report.val.at) } : undefined
  }

  #showsVersions (name: string, report: LoadReport): boolean {
    const versions = report.versions.join(' ')
    const earlier = this.#shown.get(name)
    const reports = earlier?.versions === versions ? earlier.reports + 1 : 0
    this.#shown.set(name, { versions, reports })
    return reports < reportsWithNewVersions || reports % reportsPerVersions === 0
  }

  /** The engines that this daemon polls; worked out anew when the members or the settings change. */
  #own (endpoints: readonly EndpointDescription[]): readonly EndpointDescription[] {
    const { members, self } = this.#parts
    const ring = members.ring()
    const known = this.#assignment
    if (known !== undefined && known.ring === ring && isSame(known.endpoints, endpoints)) return known.own
    const near = endpoints.filter(endpoint => endpoint.kind === EndpointKind.Engine && endpoint.place.dataCentre === self.place.dataCentre)
    const pollers = new PollerChoice(ring.map(member => member.name))
    const own = near.filter(endpoint => pollers.isPoller(self.name, endpoint.name))
    this.#assignment = { ring, endpoints, own }
    return own
  }
}

function isSame (left: readonly EndpointDescription[], right: readonly EndpointDescription[]): boolean {
  return left.length === right.length && left.every((endpoint, index) => endpoint === right[index])
}
