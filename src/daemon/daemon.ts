/**
 * Life cycle of a daemon. Shutdown proceeds from the outside in: first callers, then background tasks,
 * and last the data that must reach the store before the VM may go.
 */
import { Err, Ok, type Result, withDeadline } from '../contract/index.ts'
import { SettingsLease } from '../distribution/index.ts'
import { type CallerServer, OperatorServer } from '../entry/index.ts'
import type { Log } from '../observe/index.ts'
import type { LocalSettings } from '../settings/index.ts'
import { composeDaemonDependencies, type DaemonDependencies, type DependencyOverrides } from './composition.ts'
import type { TlsCredentials } from './tlsFiles.ts'

/** Status of a daemon, as served to operators. */
export interface DaemonStatus {
  readonly name: string
  readonly region: string
  readonly dataCentre: string
  readonly ready: boolean
  readonly steward: boolean
  readonly requestsInFlight: number
  readonly billBacklog: number
  readonly settings: { readonly revision: number, readonly lease: string }
  readonly members: ReadonlyArray<{ readonly name: string, readonly dataCentre: string, readonly state: string }>
  readonly endpoints: ReadonlyArray<{ readonly name: string, readonly healthy: boolean, readonly leaving: boolean, readonly running: number | undefined, readonly queued: number | undefined }>
}

export class Daemon {
  readonly #local: LocalSettings
  readonly #dependencies: DaemonDependencies
  readonly #operatorServer: OperatorServer
  #isReady = false

  /**
   * Creates a daemon without starting it.
   *
   * @param overrides components that replace the default ones, for tests
   * @example
   * const daemon = await Daemon.compose(local, undefined)
   */
  static async compose (local: LocalSettings, tls: TlsCredentials | undefined, overrides: DependencyOverrides = {}): Promise<Daemon> {
    return new Daemon(local, await composeDaemonDependencies(local, tls, overrides))
  }

  private constructor (local: LocalSettings, dependencies: DaemonDependencies) {
    this.#local = local
    this.#dependencies = dependencies
    this.#operatorServer = new OperatorServer({ metrics: { text: () => this.#metricsText() }, isReady: () => this.#isReady, status: () => this.status() })
  }

  get log (): Log {
    return this.#dependencies.log
  }

  get dependencies (): DaemonDependencies {
    return this.#dependencies
  }

  /** The HTTP server for callers. */
  get callerServer (): CallerServer {
    return this.#dependencies.callerServer
  }

  /**
   * Starts all servers and background tasks.
   *
   * @returns a message with the reason if an address can't be listened on
   */
  async start (): Promise<Result<void, string>> {
    const { callerServer, eventLoopStalls, follower, ledger, link, log, membership, news, ratingExchange, steward } = this.#dependencies
    eventLoopStalls.start()
    try {
      await this.#operatorServer.listen(this.#local.listen.operators)
      const linked = await link.listen(this.#local.listen.link)
      if (linked.err) return Err(`the daemon can't start: ${linked.val.reason}`)
      membership.start()
      await follower.start()
      ledger.start()
      ratingExchange.start()
      news.start()
      steward.start()
      await callerServer.listen(this.#local.listen.callers)
    } catch (error) {
      return Err(`the daemon can't start: ${error instanceof Error ? error.message : String(error)}`)
    }
    this.#isReady = true
    log.info('daemon_started', { callers: this.#local.listen.callers, link: this.#local.listen.link, revision: follower.view.revision })
    return Ok(undefined)
  }

  /** Drains running requests for up to `drain_seconds`, flushes durable data, and stops. */
  async stop (): Promise<void> {
    const { callerServer, claims, clock, drain, eventLoopStalls, follower, ledger, link, log, membership, news, ratingExchange, steward, tracer } = this.#dependencies
    log.info('daemon_stopping', { requests: drain.requestsInFlight })
    this.#isReady = false
    drain.begin()
    await membership.leave()
    await withDeadline(clock, clock.now() + this.#local.drain_seconds * 1_000, drain.waitUntilEmpty())
    if (drain.requestsInFlight > 0) log.error('daemon_stopped_with_requests', { requests: drain.requestsInFlight })
    await callerServer.close()
    await claims.stop()
    await steward.stop()
    await ratingExchange.stop()
    news.stop()
    await ledger.stop()
    await follower.stop()
    await membership.stop()
    await link.close()
    await tracer.close()
    await this.#operatorServer.close()
    eventLoopStalls.stop()
    log.info('daemon_stopped', {})
  }

  /** Replaces the TLS certificate of the callers' server. */
  reloadCallerTls (tls: TlsCredentials): void {
    this.#dependencies.callerServer.reloadTls(tls)
    this.#dependencies.log.info('tls_reloaded', {})
  }

  /** Updates the gauges and returns all metrics in text format. */
  async #metricsText (): Promise<string> {
    const { follower, ledger, membership, metrics } = this.#dependencies
    metrics.settingsRevision.set(follower.view.revision)
    metrics.settingsLease.set(follower.lease === SettingsLease.Held ? 1 : 0)
    metrics.billBacklog.set(ledger.backlog)
    metrics.billsLost.set(ledger.entriesLost)
    metrics.billsCopied.set(ledger.entriesCopied)
    metrics.billsUnsafe.set(ledger.entriesUnsafe)
    metrics.members.reset()
    for (const { state } of membership.members()) metrics.members.inc({ state })
    return await metrics.text()
  }

  status (): DaemonStatus {
    const { drain, follower, ledger, lease, membership } = this.#dependencies
    const endpoints = [...follower.view.endpoints.keys()].flatMap(name => membership.endpointStatus(name) ?? [])
    return {
      name: this.#local.name,
      region: this.#local.region,
      dataCentre: this.#local.data_centre,
      ready: this.#isReady,
      steward: lease.held !== undefined,
      requestsInFlight: drain.requestsInFlight,
      billBacklog: ledger.backlog,
      settings: { revision: follower.view.revision, lease: follower.lease },
      members: membership.members().map(member => ({ name: member.name, dataCentre: member.place.dataCentre, state: member.state })),
      endpoints: endpoints.map(news => ({ name: news.name, healthy: news.healthy, leaving: news.leaving, running: news.report?.running, queued: news.report?.queued }))
    }
  }
}
