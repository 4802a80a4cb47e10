/** The gateway process on the platform's VMs: starts its components, reloads its boot file, and handles planned stops. */
import type { AwilixContainer } from 'awilix'
import { type BootFile, readBootFile } from '../../platform/index.ts'
import { Err, Ok, type Result, withDeadline } from '../contract/index.ts'
import { signalDelayMilliseconds } from '../gateway/index.ts'
import { type ForwarderOptions, composeForwarder } from './composition.ts'
import type { ForwarderDependencies } from './forwarderDependencies.ts'

/** Where metrics are served on every VM; `deploy/system.toml` names the same port. */
const metricsPort = 9464
const handOverTimeoutMilliseconds = 150
/** For writing the log and closing all components. */
const closeTimeoutMilliseconds = 150
/** By which the timers of a busy VM may exceed these times. */
const timerDelayMilliseconds = 100
/** Part of the grace period that is left after the drain. */
const graceReserveMilliseconds = signalDelayMilliseconds + handOverTimeoutMilliseconds + closeTimeoutMilliseconds + timerDelayMilliseconds
const bootFileCheckIntervalMilliseconds = 5_000
const sweepIntervalMilliseconds = 10_000

export class Forwarder {
  readonly #bootFilePath: string
  readonly #container: AwilixContainer<ForwarderDependencies>
  readonly #stopping = new AbortController()
  #stopped: Promise<void> | undefined

  constructor (bootFilePath: string, options: ForwarderOptions) {
    this.#bootFilePath = bootFilePath
    this.#container = composeForwarder(options)
  }

  /** Starts serving. The gateway becomes ready once its tables have been read. */
  async start (): Promise<Result<void, string>> {
    const { boot, confirmationMonitor, eventLoopStalls, fleetReports, follower, loadReports, news, peers, relayFollower, rollOutCoordinator, gateway, link, log, operations } = this.#container.cradle
    const { callerAddress, readyAddress, peerAddress, name } = boot.current
    log.info('started', { process: process.pid, callers: callerAddress, peers: peerAddress, node: process.version })
    eventLoopStalls.start()
    // It asks a relay first, which may make the store's reads needless.
    relayFollower.start()
    follower.start()
    confirmationMonitor.start()
    const listening = await link.listen(peerAddress)
    if (listening.err) log.error('peers_unreachable', { address: peerAddress, reason: listening.val.reason })
    fleetReports.start()
    news.start()
    loadReports.start()
    try {
      await operations.listen(readyAddress)
      await operations.listen(`${hostOf(readyAddress)}:${metricsPort}`)
      await gateway.listen(callerAddress)
    } catch (error) {
      return Err(`${name} can't listen: ${error instanceof Error ? error.message : String(error)}`)
    }
    peers.start()
    rollOutCoordinator.start()
    this.#runPeriodicTasks().catch(error => log.error('boot_file_watch_failed', { reason: String(error) }))
    return Ok(undefined)
  }

  /** Reads the boot file again; an invalid one is logged and ignored. */
  async reload (): Promise<void> {
    const { boot, log, tableLoader } = this.#container.cradle
    const read = await readBootFile(this.#bootFilePath)
    if (read.err) return log.warn('reload_failed', { reason: read.val })
    const previous = boot.current
    if (JSON.stringify(comparable(read.val)) === JSON.stringify(comparable(previous))) return
    boot.current = read.val
    tableLoader.reloadConfiguration()
    const needsRestart = read.val.callerAddress !== previous.callerAddress || read.val.storeAddress !== previous.storeAddress
    log.info('reloaded', { seeds: read.val.seeds, needsRestart })
  }

  /** Planned stop: waits for accepted requests within the grace period, then closes all components. One that has begun takes its time, however often it is asked for. */
  async stop (): Promise<void> {
    this.#stopped ??= this.#stop()
    await this.#stopped
  }

  async #stop (): Promise<void> {
    const { boot, clock, confirmationMonitor, eventLoopStalls, fleetReports, loadReports, news, rollOutCoordinator, follower, gateway, logLines, link, log, operations, peers, relayFollower, store, connections, forwarding } = this.#container.cradle
    log.info('stopping', { inFlight: forwarding.inFlight, graceMilliseconds: boot.current.graceMilliseconds })
    this.#stopping.abort('stopping')
    const drainMilliseconds = Math.max(0, boot.current.graceMilliseconds - graceReserveMilliseconds)
    await Promise.all([this.#handOverSessions(drainMilliseconds), gateway.drain(drainMilliseconds)])
    // Sessions served during the drain are on the second list only.
    await this.#handOverSessions(handOverTimeoutMilliseconds)
    rollOutCoordinator.stop()
    peers.stop()
    fleetReports.stop()
    news.stop()
    loadReports.stop()
    relayFollower.stop()
    follower.stop()
    confirmationMonitor.stop()
    operations.close()
    eventLoopStalls.stop()
    log.info('stopped', {})
    await withDeadline(clock, clock.now() + closeTimeoutMilliseconds, Promise.all([logLines.flush(closeTimeoutMilliseconds), link.close(), store.close(), connections.close()]))
  }

  async #handOverSessions (timeoutMilliseconds: number): Promise<void> {
    const { clock, rollOutCoordinator } = this.#container.cradle
    await withDeadline(clock, clock.now() + timeoutMilliseconds, rollOutCoordinator.handOverSessions())
  }

  async #runPeriodicTasks (): Promise<void> {
    const { clock, loads } = this.#container.cradle
    let lastSweepAt = clock.now()
    while (!this.#stopping.signal.aborted) {
      await clock.sleep(bootFileCheckIntervalMilliseconds, this.#stopping.signal)
      await this.reload()
      if (clock.now() - lastSweepAt < sweepIntervalMilliseconds) continue
      loads.sweep(clock.now())
      lastSweepAt = clock.now()
    }
  }
}

function comparable (boot: BootFile): unknown {
  return { ...boot, regionsByDataCentre: [...boot.regionsByDataCentre] }
}

function hostOf (address: string): string {
  return address.slice(0, address.lastIndexOf(':'))
}
