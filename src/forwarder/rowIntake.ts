/** Turns changed tables into the values that forwarding reads. A row that can't be read names nothing, and is logged. */
import {
  type BootFile, Table, configurationKey, decodeConfiguration, decodeEndpoint, decodeEvidence, decodeOrder,
  decodePins, decodeStatus, isEvidenceKey, isPinsKey, orderService, statusService
} from '../../platform/index.ts'
import type { Clock, Result } from '../contract/index.ts'
import type { GatewayMetrics, GatewayServer, RollOutView, RoutingView, VersionedStatus } from '../gateway/index.ts'
import type { Log } from '../observe/index.ts'
import type { EndpointRoster } from '../placing/index.ts'
import type { FeedRow, ReplicaFollower, TableReplica } from '../replica/index.ts'
import type { RollOutEvidence, RollOutOrder, RollOutPins, RoutedEndpoint } from '../routing/index.ts'

/** A registration expires after so many heartbeats without one. */
const heartbeatsToExpiry = 3
/** Beyond that, the time in which a daemon learns that the store is back. */
const noticeMilliseconds = 2_000

/** What the intake fills. */
export interface RowIntakeParts {
  readonly boot: { readonly current: BootFile }
  readonly clock: Clock
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly routing: RoutingView
  readonly roster: EndpointRoster
  readonly rollOuts: RollOutView
  readonly follower: ReplicaFollower
  readonly gateway: GatewayServer
}

/** Takes tables in as they change. */
export class RowIntake {
  readonly #parts: RowIntakeParts
  readonly #taken = new Set<string>()
  /** Versions of rows that can't be read, so that each is logged once. */
  readonly #logged = new Map<string, number>()
  readonly #described = new Map<string, string>()

  constructor (parts: RowIntakeParts) {
    this.#parts = parts
  }

  /** Whether everything that forwarding needs was read at least once. */
  get isComplete (): boolean {
    return this.#parts.routing.snapshot !== undefined && this.#taken.has(Table.Endpoints)
  }

  /** Takes a table in as it stands now. */
  take (table: string, replica: TableReplica): void {
    this.#taken.add(table)
    const rows = [...replica.rows.values()]
    if (table === Table.Orders) this.#takeOrders(rows)
    if (table === Table.Endpoints) this.#takeEndpoints(rows)
    if (table === Table.Status) this.#takeStatus(rows)
  }

  #takeOrders (rows: readonly FeedRow[]): void {
    const orders: RollOutOrder[] = []
    for (const row of rows) {
      if (row.key === configurationKey) this.#takeConfiguration(row)
      if (orderService(row.key) === undefined) continue
      this.#collect(row, decodeOrder(bytesOf(row)), orders)
    }
    this.#parts.rollOuts.installOrders(orders)
  }

  #takeConfiguration (row: FeedRow): void {
    const { routing, log, metrics, gateway } = this.#parts
    const settings = decodeConfiguration(bytesOf(row))
    if (settings.err) return this.#unreadable(row, settings.val)
    if (!routing.install(settings.val)) return
    gateway.limit(settings.val.limits)
    metrics.settingsVersion.set(settings.val.version)
    log.info('settings_installed', { version: settings.val.version, row: row.version, routes: settings.val.routes.length })
  }

  #takeEndpoints (rows: readonly FeedRow[]): void {
    const { boot, clock, follower, roster } = this.#parts
    const endpoints: RoutedEndpoint[] = []
    for (const row of rows) {
      this.#collect(row, decodeEndpoint(row.key, bytesOf(row), boot.current.regionsByDataCentre), endpoints)
    }
    const expiry = heartbeatsToExpiry * boot.current.endpointHeartbeatMilliseconds + noticeMilliseconds
    const now = clock.now()
    const storeWasOut = follower.isCutOff || now - follower.regainedAt < expiry
    roster.learn({ endpoints, storeWasOut, now })
    this.#logEndpoints(endpoints, storeWasOut)
  }

  #takeStatus (rows: readonly FeedRow[]): void {
    const statuses: VersionedStatus[] = []
    const evidence: RollOutEvidence[] = []
    const pins: RollOutPins[] = []
    for (const row of rows) {
      const service = statusService(row.key)
      if (service !== undefined) {
        const status = decodeStatus(service, bytesOf(row))
        this.#collect(row, status.map(value => ({ status: value, rowVersion: row.version })), statuses)
      }
      if (isEvidenceKey(row.key)) this.#collect(row, decodeEvidence(bytesOf(row)), evidence)
      if (isPinsKey(row.key)) this.#collect(row, decodePins(bytesOf(row)), pins)
    }
    this.#parts.rollOuts.installStatuses(statuses, evidence, pins)
  }

  /** One line for each endpoint that came, changed or went. */
  #logEndpoints (endpoints: readonly RoutedEndpoint[], storeWasOut: boolean): void {
    const gone = new Set(this.#described.keys())
    for (const endpoint of endpoints) {
      const { identity, service, address, version, leaving, bornAt } = endpoint
      gone.delete(identity)
      const description = `${address} ${version} ${leaving} ${bornAt}`
      if (this.#described.get(identity) === description) continue
      this.#described.set(identity, description)
      this.#parts.log.info('endpoint_known', { endpoint: identity, service, address, version, leaving, dataCentre: endpoint.place.dataCentre })
    }
    for (const identity of gone) {
      this.#described.delete(identity)
      this.#parts.log.info('endpoint_unregistered', { endpoint: identity, storeWasOut })
    }
  }

  #collect<Value> (row: FeedRow, decoded: Result<Value, string>, into: Value[]): void {
    if (decoded.ok) into.push(decoded.val)
    else this.#unreadable(row, decoded.val)
  }

  #unreadable (row: FeedRow, reason: string): void {
    if (this.#logged.get(row.key) === row.version) return
    this.#logged.set(row.key, row.version)
    this.#parts.log.warn('row_unreadable', { key: row.key, row: row.version, reason })
  }
}

function bytesOf (row: FeedRow): Uint8Array {
  return row.bytes ?? new Uint8Array()
}
