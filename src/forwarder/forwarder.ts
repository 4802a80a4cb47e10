/** A gateway on the users' machines: starts its parts, reloads its boot file, and stops as planned. */
import type { AwilixContainer } from 'awilix'
import { type BootFile, readBootFile } from '../../platform/index.ts'
import { Err, Ok, type Result } from '../contract/index.ts'
import { type ForwarderParts, composeForwarder } from './composition.ts'

/** Where metrics are served on every VM; `deploy/system.toml` names the same port. */
const metricsPort = 9464
/** Kept of the grace, for the last lines of the log and the end of the process. */
const graceReserveMilliseconds = 500
const flushMilliseconds = 200
const bootFileCheckMilliseconds = 5_000
const sweepMilliseconds = 10_000

/** One gateway process. */
export class Forwarder {
  readonly #path: string
  readonly #container: AwilixContainer<ForwarderParts>
  readonly #stopping = new AbortController()

  constructor (path: string, boot: BootFile, secret: string) {
    this.#path = path
    this.#container = composeForwarder(boot, secret)
  }

  /** Starts serving; it is ready once its tables are read. */
  async start (): Promise<Result<void, string>> {
    const { boot, follower, peers, relayFollower, duty, gateway, link, log, operations } = this.#container.cradle
    const { callerAddress, readyAddress, peerAddress, name } = boot.current
    log.info('started', { process: process.pid, callers: callerAddress, peers: peerAddress, node: process.version })
    follower.start()
    const listening = await link.listen(peerAddress)
    if (listening.err) log.error('peers_unreachable', { address: peerAddress, reason: listening.val.reason })
    try {
      await operations.listen(readyAddress)
      await operations.listen(`${addressHost(readyAddress)}:${metricsPort}`)
      await gateway.listen(callerAddress)
    } catch (error) {
      return Err(`${name} can't listen: ${error instanceof Error ? error.message : String(error)}`)
    }
    peers.start()
    relayFollower.start()
    duty.start()
    this.#watch().catch(error => log.error('boot_file_watch_failed', { reason: String(error) }))
    return Ok(undefined)
  }

  /** Reads the boot file again; one that can't be used changes nothing. */
  async reload (): Promise<void> {
    const { boot, log } = this.#container.cradle
    const read = await readBootFile(this.#path)
    if (read.err) return log.warn('reload_failed', { reason: read.val })
    const known = boot.current
    if (JSON.stringify(comparable(read.val)) === JSON.stringify(comparable(known))) return
    boot.current = read.val
    const needsRestart = read.val.callerAddress !== known.callerAddress || read.val.storeAddress !== known.storeAddress
    log.info('reloaded', { seeds: read.val.seeds, needsRestart })
  }

  /** A planned stop: every request that was taken ends. */
  async stop (): Promise<void> {
    const { boot, duty, follower, gateway, lines, link, log, operations, peers, relayFollower, store, connections, forwarding } = this.#container.cradle
    log.info('stopping', { inFlight: forwarding.inFlight, graceMilliseconds: boot.current.graceMilliseconds })
    this.#stopping.abort('stopping')
    duty.stop()
    await gateway.drain(boot.current.graceMilliseconds - graceReserveMilliseconds)
    peers.stop()
    relayFollower.stop()
    follower.stop()
    operations.close()
    log.info('stopped', {})
    await lines.flush(flushMilliseconds)
    await Promise.race([Promise.all([link.close(), store.close(), connections.close()]), new Promise(resolve => setTimeout(resolve, flushMilliseconds))])
  }

  async #watch (): Promise<void> {
    const { clock, loads } = this.#container.cradle
    let sweptAt = clock.now()
    while (!this.#stopping.signal.aborted) {
      await clock.sleep(bootFileCheckMilliseconds, this.#stopping.signal)
      await this.reload()
      if (clock.now() - sweptAt < sweepMilliseconds) continue
      loads.sweep(clock.now())
      sweptAt = clock.now()
    }
  }
}

function comparable (boot: BootFile): unknown {
  return { ...boot, regionsByDataCentre: [...boot.regionsByDataCentre] }
}

function addressHost (address: string): string {
  return address.slice(0, address.lastIndexOf(':'))
}
