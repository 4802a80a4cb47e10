/**
 * Duties of a data centre that must have a single holder. Losing the lease stops these duties but never
 * request serving. Engines that don't check fencing numbers are protected by time: an order is sent only
 * while the remaining lease time exceeds the order time-out, and a new steward first waits for one order
 * time-out.
 */
import { type Clock, type Randomness, rendezvousOrder, withDeadline } from '../contract/index.ts'
import { RollOutVerdict } from '../choice/index.ts'
import { SettingsLease, type SettingsRepository, type SettingsSource } from '../distribution/index.ts'
import type { EngineClient } from '../endpoint/index.ts'
import type { RollOutMonitor } from '../entry/index.ts'
import { type Membership, MemberState } from '../membership/index.ts'
import type { Log, Metrics } from '../observe/index.ts'
import type { HeldLease, StewardLease } from './lease.ts'
import { type AddressedEngineOrder, missingEngineOrders } from './engineOrders.ts'
import { advanceRollOut, haltRollOut } from './rollOutUpdates.ts'

export interface StewardOptions {
  readonly clock: Clock
  readonly randomness: Randomness
  readonly lease: StewardLease
  readonly settings: SettingsSource
  readonly repository: SettingsRepository
  readonly membership: Membership
  readonly engines: EngineClient
  readonly rollOuts: RollOutMonitor
  readonly metrics: Metrics
  readonly log: Log
  /** The VM's name, recorded as the author of settings changes. */
  readonly name: string
  readonly dataCentre: string
}

const tickIntervalMilliseconds = 1_000
const contendersPerDataCentre = 3
const orderTimeoutMilliseconds = 2_000

/** Contends for the lease of a data centre and performs the duties while holding it. */
export class Steward {
  readonly #options: StewardOptions
  readonly #stopping = new AbortController()
  #runTask: Promise<void> | undefined
  #tenure: { readonly fencing: number, readonly at: number } | undefined

  constructor (options: StewardOptions) {
    this.#options = options
  }

  /** Starts contending for the lease. */
  start (): void {
    this.#runTask ??= this.#run()
  }

  /** Finishes the duty in progress, releases the lease and stops. */
  async stop (): Promise<void> {
    this.#stopping.abort()
    await this.#runTask
    await this.#options.lease.release()
  }

  async #run (): Promise<void> {
    const { clock, lease, metrics, randomness } = this.#options
    while (!this.#stopping.signal.aborted) {
      await this.#haltFailingRollOuts()
      if (lease.held !== undefined || this.#isContender()) await this.#renewLease()
      const held = lease.held
      metrics.stewardLeaseHeld.set(held === undefined ? 0 : 1)
      if (held !== undefined) await this.#performDuties(held)
      await clock.sleep(tickIntervalMilliseconds * (0.75 + randomness.fraction() / 2), this.#stopping.signal)
    }
  }

  async #renewLease (): Promise<void> {
    const renewal = await this.#options.lease.renewOrAcquire()
    if (renewal.err) this.#options.log.warn('steward_lease_not_renewed', { reason: renewal.val.reason })
  }

  /** Only a few daemons of the data centre contend for the lease, to limit reads of its row. */
  #isContender (): boolean {
    const { dataCentre, membership, name } = this.#options
    const localMembers = membership.members().filter(member => member.place.dataCentre === dataCentre && member.state === MemberState.Alive)
    const names = new Set([name, ...localMembers.map(member => member.name)])
    return rendezvousOrder(`steward/${dataCentre}`, [...names]).slice(0, contendersPerDataCentre).includes(name)
  }

  async #performDuties (held: HeldLease): Promise<void> {
    const { clock, log } = this.#options
    if (this.#tenure?.fencing !== held.fencing) {
      this.#tenure = { fencing: held.fencing, at: clock.now() }
      log.info('steward_lease_taken', { fencing: held.fencing })
    }
    await this.#advanceRollOuts()
    const arePreviousOrdersOver = clock.now() - this.#tenure.at > orderTimeoutMilliseconds
    if (!arePreviousOrdersOver) return
    const { dataCentre, membership, settings } = this.#options
    const orders = missingEngineOrders(settings.view, membership, dataCentre, held.fencing)
    for (const order of orders) await this.#sendOrder(order)
  }

  async #sendOrder ({ endpoint, order }: AddressedEngineOrder): Promise<void> {
    const { clock, engines, lease, log } = this.#options
    const held = lease.held
    if (held?.fencing !== order.fencing || held.expiresAt - clock.now() <= orderTimeoutMilliseconds) return
    const cancellation = new AbortController()
    const request = engines.order(endpoint, order, AbortSignal.any([cancellation.signal, this.#stopping.signal]))
    const outcome = await withDeadline(clock, clock.now() + orderTimeoutMilliseconds, request)
    cancellation.abort()
    const failure = outcome === undefined ? 'timeout' : outcome.err ? outcome.val.reason : undefined
    if (failure === undefined) log.info('engine_order_given', { endpoint: endpoint.name, action: order.action, version: order.version, fencing: order.fencing })
    else log.warn('engine_order_failed', { endpoint: endpoint.name, action: order.action, version: order.version, reason: failure })
  }

  async #advanceRollOuts (): Promise<void> {
    const { clock, log, name, repository, rollOuts, settings } = this.#options
    if (settings.lease !== SettingsLease.Held) return
    for (const { rollOut, verdict } of rollOuts.verdicts(clock.now())) {
      if (verdict !== RollOutVerdict.Advance) continue
      const written = await advanceRollOut(repository, rollOut, name)
      if (written.ok) log.info('roll_out_advanced', { model: rollOut.model, to: rollOut.to, from_share: rollOut.settings.share })
      else log.warn('roll_out_write_failed', { model: rollOut.model, reason: written.val.reason })
    }
  }

  /** Any daemon may persist its halt decision; this needs no lease. */
  async #haltFailingRollOuts (): Promise<void> {
    const { clock, log, name, repository, rollOuts } = this.#options
    for (const { rollOut, verdict } of rollOuts.verdicts(clock.now())) {
      if (verdict !== RollOutVerdict.Halt) continue
      const written = await haltRollOut(repository, rollOut, name)
      if (written.ok) log.warn('roll_out_halted', { model: rollOut.model, to: rollOut.to, outcome: written.val })
      else log.warn('roll_out_write_failed', { model: rollOut.model, reason: written.val.reason })
    }
  }
}
