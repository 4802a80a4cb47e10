/** Decodes changed tables into the values that forwarding reads. Rows that can't be decoded are logged and skipped. */
import {
  type BootFile, Table, configurationKey, dataCentreOfEvacuationKey, decodeConfiguration, decodeEndpoint, decodeEvidence, decodeOrder,
  decodeHandOver, decodePins, decodeStatus, isEvidenceKey, isHandOverKey, isPinsKey, serviceOfOrderKey, serviceOfStatusKey
} from '../../platform/index.ts'
import { type Clock, type Result, Wakeup } from '../contract/index.ts'
import { type GatewayMetrics, type GatewayServer, PinnedSessions, type RollOutView, type RoutingView, type VersionedStatus } from '../gateway/index.ts'
import type { Log } from '../observe/index.ts'
import type { EndpointRegistry } from '../placement/index.ts'
import type { FeedRow, ReplicaFollower, TableReplica } from '../replica/index.ts'
import type { WarmUps } from '../rateLimit/index.ts'
import { type RollOutEvidence, type RollOutOrder, type RollOutPins, type RoutedEndpoint, type SessionHandOver, instanceKey } from '../routing/index.ts'
import type { EvacuationLoader } from './evacuationLoader.ts'

/** A registration expires after this many missed heartbeats. */
const missedHeartbeatsToExpiry = 3
/** Added to the expiry: time for a daemon to notice that the store has recovered. */
const storeRecoveryNoticeMilliseconds = 2_000
/** How long after the start requests wait for the first read of the tables; later they are refused at once. */
const startUpWaitMilliseconds = 1_500
/** The same once the store has failed: time for a peer to send its tables. */
const startUpWaitWithoutStoreMilliseconds = 500

export interface TableLoaderDependencies {
  readonly boot: { readonly current: BootFile }
  readonly clock: Clock
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly routing: RoutingView
  readonly registry: EndpointRegistry
  readonly warmUps: WarmUps
  readonly evacuationLoader: EvacuationLoader
  readonly rollOuts: RollOutView
  readonly follower: ReplicaFollower
  readonly gateway: GatewayServer
}

/** Loads tables as they change. */
export class TableLoader {
  readonly #dependencies: TableLoaderDependencies
  readonly #loadedTables = new Set<string>()
  /** Versions of undecodable rows by key, so that each is logged once. */
  readonly #loggedRowVersions = new Map<string, number>()
  readonly #endpointDescriptions = new Map<string, string>()
  /** The row that was last decoded; a replica keeps the rows that did not change. */
  #configurationRow: FeedRow | undefined
  readonly #startedAt: number
  /** Ends the wait for the first read of the tables. */
  readonly #completion = new Wakeup()

  constructor (dependencies: TableLoaderDependencies) {
    this.#dependencies = dependencies
    this.#startedAt = dependencies.clock.now()
  }

  /** Whether all tables that forwarding needs have been read at least once. */
  get isComplete (): boolean {
    return this.#dependencies.routing.snapshot !== undefined && this.#loadedTables.has(Table.Endpoints)
  }

  /** Waits for `isComplete`, but not longer than a start usually takes, and less once the store has failed. */
  async untilComplete (): Promise<void> {
    const { clock, follower } = this.#dependencies
    while (!this.isComplete) {
      const waitMilliseconds = follower.hasFailingFeed ? startUpWaitWithoutStoreMilliseconds : startUpWaitMilliseconds
      const remainingMilliseconds = this.#startedAt + waitMilliseconds - clock.now()
      if (remainingMilliseconds <= 0) return
      await Promise.race([this.#completion.sleep(clock, remainingMilliseconds), follower.failureWakeup.sleep(clock, remainingMilliseconds)])
    }
  }

  /** Loads the current rows of a table. */
  load (table: string, replica: TableReplica): void {
    this.#loadedTables.add(table)
    const rows = [...replica.rows.values()]
    if (table === Table.Orders) this.#loadOrders(rows)
    if (table === Table.Endpoints) this.#loadEndpoints(rows)
    if (table === Table.Status) this.#loadStatus(rows, replica.epoch)
    if (this.isComplete) this.#completion.wake()
  }

  /** Decodes the configuration again, since the boot file names the regions that it may use. */
  reloadConfiguration (): void {
    const row = this.#configurationRow
    if (row !== undefined) this.#decodeConfiguration(row)
  }

  #loadOrders (rows: readonly FeedRow[]): void {
    const orders: RollOutOrder[] = []
    for (const row of rows) {
      if (row.key === configurationKey && row !== this.#configurationRow) this.#decodeConfiguration(row)
      if (serviceOfOrderKey(row.key) === undefined) continue
      this.#collect(row, decodeOrder(bytesOf(row)), orders)
    }
    this.#dependencies.rollOuts.installOrders(orders)
    const evacuated = rows.map(({ key }) => dataCentreOfEvacuationKey(key)).filter(dataCentre => dataCentre !== undefined)
    this.#dependencies.evacuationLoader.load(new Set(evacuated))
  }

  #decodeConfiguration (row: FeedRow): void {
    const { boot, routing, log, metrics, gateway } = this.#dependencies
    this.#configurationRow = row
    const settings = decodeConfiguration(bytesOf(row), new Set(boot.current.regionsByDataCentre.values()))
    if (settings.err) return this.#logUnreadable(row, settings.val)
    if (!routing.install(settings.val)) return
    gateway.applyLimits(settings.val.limits)
    metrics.settingsVersion.set(settings.val.version)
    log.info('settings_installed', { version: settings.val.version, row: row.version, routes: settings.val.routes.length })
  }

  #loadEndpoints (rows: readonly FeedRow[]): void {
    const { boot, clock, follower, registry } = this.#dependencies
    const endpoints: RoutedEndpoint[] = []
    for (const row of rows) {
      const decoded = decodeEndpoint(row.key, bytesOf(row), boot.current.regionsByDataCentre)
      this.#collect(row, decoded, endpoints)
      if (decoded.ok) this.#recordWarmUp(decoded.val, row.version)
    }
    const expiryMilliseconds = registrationExpiryMilliseconds(boot.current)
    const now = clock.now()
    const wasStoreRestored = now - follower.lastRestoredAt < expiryMilliseconds
    const storeWasOut = wasStoreRestored || follower.hasFailingFeed || now - follower.lastRecoveredAt < expiryMilliseconds
    const copiedUntil = wasStoreRestored ? follower.lastRestoredAt + expiryMilliseconds : undefined
    registry.update({ endpoints, wasStoreUnavailable: storeWasOut, copiedUntil, now })
    this.#logEndpoints(endpoints, storeWasOut)
  }

  #loadStatus (rows: readonly FeedRow[], epoch: number): void {
    const statuses: VersionedStatus[] = []
    const evidence: RollOutEvidence[] = []
    const pins: RollOutPins[] = []
    const handOvers: SessionHandOver[] = []
    for (const row of rows) {
      const service = serviceOfStatusKey(row.key)
      if (service !== undefined) {
        const status = decodeStatus(service, bytesOf(row))
        this.#collect(row, status.map(value => ({ status: value, rowVersion: row.version })), statuses)
      }
      if (isEvidenceKey(row.key)) this.#collect(row, decodeEvidence(bytesOf(row)), evidence)
      if (isPinsKey(row.key)) this.#collect(row, decodePins(bytesOf(row)), pins)
      if (isHandOverKey(row.key)) this.#collect(row, decodeHandOver(bytesOf(row)), handOvers)
    }
    const { boot, rollOuts } = this.#dependencies
    const pinnedSessions = new PinnedSessions(pins, handOvers, boot.current.sessionTimeoutMilliseconds)
    rollOuts.installStatuses({ statuses, evidence, pinnedSessions, epoch })
  }

  #recordWarmUp (endpoint: RoutedEndpoint, rowVersion: number): void {
    const { clock, log, warmUps } = this.#dependencies
    const milliseconds = endpoint.warmUpMilliseconds ?? 0
    const isNew = warmUps.recordRegistration(instanceKey(endpoint), { version: rowVersion, milliseconds }, clock.now())
    if (isNew) log.info('endpoint_warming_up', { endpoint: endpoint.identity, service: endpoint.service, milliseconds, source: 'registration' })
  }

  /** Logs one line for each endpoint that was added, changed or removed. */
  #logEndpoints (endpoints: readonly RoutedEndpoint[], storeWasOut: boolean): void {
    const removed = new Set(this.#endpointDescriptions.keys())
    for (const endpoint of endpoints) {
      const { identity, service, address, version, isDraining: leaving, bornAt } = endpoint
      removed.delete(identity)
      const description = `${address} ${version} ${leaving} ${bornAt}`
      if (this.#endpointDescriptions.get(identity) === description) continue
      this.#endpointDescriptions.set(identity, description)
      this.#dependencies.log.info('endpoint_known', { endpoint: identity, service, address, version, leaving, dataCentre: endpoint.place.dataCentre })
    }
    for (const identity of removed) {
      this.#endpointDescriptions.delete(identity)
      this.#dependencies.log.info('endpoint_unregistered', { endpoint: identity, storeWasOut })
    }
  }

  #collect<Value> (row: FeedRow, decoded: Result<Value, string>, into: Value[]): void {
    if (decoded.ok) into.push(decoded.val)
    else this.#logUnreadable(row, decoded.val)
  }

  #logUnreadable (row: FeedRow, reason: string): void {
    if (this.#loggedRowVersions.get(row.key) === row.version) return
    this.#loggedRowVersions.set(row.key, row.version)
    this.#dependencies.log.warn('row_unreadable', { key: row.key, row: row.version, reason })
  }
}

/** How long the registration of an endpoint that has ended may stay, as a gateway that follows the store sees it. */
export function registrationExpiryMilliseconds ({ endpointHeartbeatIntervalMilliseconds }: BootFile): number {
  return missedHeartbeatsToExpiry * endpointHeartbeatIntervalMilliseconds + storeRecoveryNoticeMilliseconds
}

function bytesOf (row: FeedRow): Uint8Array {
  return row.bytes ?? new Uint8Array()
}
