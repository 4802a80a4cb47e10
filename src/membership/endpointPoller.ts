/**
 * Polls the load of endpoints. Each engine is polled by two daemons of its data centre, selected alike by
 * all through rendezvous hashing, so that its polling load does not grow with the daemons and one frozen
 * daemon does not hide it. Together they produce about one report per second.
 */
import { type Clock, type EndpointDescription, EndpointKind, type LoadReport, type Randomness, type Result, retryIfHeldUp, replyTimeoutSignal } from '../contract/index.ts'
import type { LinkIdentity } from '../link/index.ts'
import { endpointRecordFromReport } from './endpointRecord.ts'
import type { EndpointTable } from './endpointTable.ts'
import type { MemberTable } from './memberTable.ts'
import type { BroadcastTree } from './broadcastTree.ts'
import { PollerSelector } from './pollerSelector.ts'

const pollIntervalMilliseconds = 2_000
const reportTimeoutMilliseconds = 900
/** The version list is sent with the first reports that contain it, then with every `reportsPerVersionList`th. */
const reportsWithNewVersions = 3
const reportsPerVersionList = 8

/** Reads load reports from engines; implemented by the daemons' engine client. */
export interface LoadReportClient {
  report (endpoint: EndpointDescription, signal: AbortSignal): Promise<Result<LoadReport, unknown>>
}

export interface EndpointPollerOptions {
  readonly self: LinkIdentity
  readonly clock: Clock
  readonly randomness: Randomness
  readonly engines: LoadReportClient
  /** All endpoints in the settings. */
  readonly endpoints: () => readonly EndpointDescription[]
  readonly members: MemberTable
  readonly endpointTable: EndpointTable
  readonly broadcastTree: BroadcastTree
}

interface Assignment {
  readonly ring: readonly LinkIdentity[]
  readonly endpoints: readonly EndpointDescription[]
  readonly assigned: readonly EndpointDescription[]
}

interface SentVersions {
  readonly versions: string
  readonly reportCount: number
}

export class EndpointPoller {
  readonly #options: EndpointPollerOptions
  readonly #sentVersions = new Map<string, SentVersions>()
  #assignment: Assignment | undefined

  constructor (options: EndpointPollerOptions) {
    this.#options = options
  }

  async run (stopping: AbortSignal): Promise<void> {
    const { clock, randomness, endpointTable } = this.#options
    while (!stopping.aborted) {
      const endpoints = this.#options.endpoints()
      if (endpoints.length > 0) endpointTable.retain(new Set(endpoints.map(endpoint => endpoint.name)))
      const startedAt = clock.now()
      await Promise.all(this.#assignedEndpoints(endpoints).map(endpoint => this.#poll(endpoint)))
      const interval = pollIntervalMilliseconds * (0.9 + 0.2 * randomness.fraction())
      await clock.sleep(startedAt + interval - clock.now(), stopping)
    }
  }

  async #poll (endpoint: EndpointDescription): Promise<void> {
    const { broadcastTree, endpointTable } = this.#options
    const report = await this.#fetchReport(endpoint)
    if (report === undefined) {
      if (endpointTable.recordFailedPoll(endpoint.name)) broadcastTree.broadcast(endpoint.name, false)
      return
    }
    const wasLeaving = endpointTable.record(endpoint.name)?.leaving ?? false
    if (!endpointTable.merge(endpointRecordFromReport(endpoint.name, report))) return
    const isNowLeaving = endpointTable.record(endpoint.name)?.leaving ?? false
    if (isNowLeaving && !wasLeaving) broadcastTree.broadcastNow(endpoint.name)
    else broadcastTree.broadcast(endpoint.name, this.#shouldSendVersions(endpoint.name, report))
  }

  async #fetchReport (endpoint: EndpointDescription): Promise<LoadReport | undefined> {
    const { clock, engines } = this.#options
    const ask = async () => {
      const timeout = replyTimeoutSignal(clock, reportTimeoutMilliseconds)
      return await engines.report(endpoint, timeout.signal).finally(timeout.cancel)
    }
    const report = await retryIfHeldUp(clock, ask, ({ ok }) => ok)
    return report.ok ? { ...report.val, at: Math.round(report.val.at) } : undefined
  }

  #shouldSendVersions (name: string, report: LoadReport): boolean {
    const versions = report.versions.join(' ')
    const previous = this.#sentVersions.get(name)
    const reportCount = previous?.versions === versions ? previous.reportCount + 1 : 0
    this.#sentVersions.set(name, { versions, reportCount })
    return reportCount < reportsWithNewVersions || reportCount % reportsPerVersionList === 0
  }

  /** The engines that this daemon polls; recomputed when the members or the settings change. */
  #assignedEndpoints (endpoints: readonly EndpointDescription[]): readonly EndpointDescription[] {
    const { members, self } = this.#options
    const ring = members.ring()
    const cached = this.#assignment
    if (cached !== undefined && cached.ring === ring && haveSameElements(cached.endpoints, endpoints)) return cached.assigned
    const localEngines = endpoints.filter(endpoint => endpoint.kind === EndpointKind.Engine && endpoint.place.dataCentre === self.place.dataCentre)
    const selector = new PollerSelector(ring.map(member => member.name))
    const assigned = localEngines.filter(endpoint => selector.isPoller(self.name, endpoint.name))
    this.#assignment = { ring, endpoints, assigned }
    return assigned
  }
}

function haveSameElements (left: readonly EndpointDescription[], right: readonly EndpointDescription[]): boolean {
  return left.length === right.length && left.every((endpoint, index) => endpoint === right[index])
}
