/** A group of ledgers with simulated links and a shared store, for tests and measurements. */
import { BatchedLedger, type BillEntry, type LedgerMember } from '../../src/billing/index.ts'
import type { Clock, Place } from '../../src/contract/index.ts'
import type { TableService } from '../../src/store/index.ts'
import { ScriptedNetwork } from './scriptedLinks.ts'

const defaultPlace = { region: 'lower-mainland', dataCentre: 'lower-mainland-a' }

/** A daemon, reduced to its ledger. */
export interface LedgerDaemon {
  readonly member: LedgerMember
  readonly ledger: BatchedLedger
  /** Its connection to the store, which is cut when the daemon is killed. */
  readonly store: DisconnectableTable
}

/** A table service that can be disconnected. Calls sent before that may still take effect, but their replies are lost. */
export class DisconnectableTable implements TableService {
  #isDisconnected = false
  readonly #table: TableService

  constructor (table: TableService) {
    this.#table = table
  }

  disconnect (): void {
    this.#isDisconnected = true
  }

  read (...args: Parameters<TableService['read']>): ReturnType<TableService['read']> {
    return this.#unlessDisconnected(() => this.#table.read(...args))
  }

  scan (...args: Parameters<TableService['scan']>): ReturnType<TableService['scan']> {
    return this.#unlessDisconnected(() => this.#table.scan(...args))
  }

  transact (...args: Parameters<TableService['transact']>): ReturnType<TableService['transact']> {
    return this.#unlessDisconnected(() => this.#table.transact(...args))
  }

  /** Never settles after the disconnection: a killed process receives no reply. */
  async #unlessDisconnected<Value> (call: () => Promise<Value>): Promise<Value> {
    if (this.#isDisconnected) return new Promise(() => undefined)
    const value = await call()
    if (this.#isDisconnected) return new Promise(() => undefined)
    return value
  }
}

/** Daemons of one data centre, each in its own rack by default. */
export class LedgerGroup {
  readonly network: ScriptedNetwork
  readonly daemons: LedgerDaemon[] = []
  readonly #clock: Clock
  readonly #table: TableService
  #incarnations = 0

  constructor (clock: Clock, table: TableService) {
    this.#clock = clock
    this.#table = table
    this.network = new ScriptedNetwork(clock)
  }

  add (name: string, rack = name, place: Place = defaultPlace): LedgerDaemon {
    this.#incarnations += 1
    const identity = { name, address: `127.0.0.1:${9_000 + this.#incarnations}`, place, rack, incarnation: this.#incarnations }
    const member = { ...identity, state: 'alive' }
    const store = new DisconnectableTable(this.#table)
    const link = this.network.addLink(identity)
    const ledger = new BatchedLedger({ table: store, clock: this.#clock, link, members: () => this.daemons.map(daemon => daemon.member) })
    const daemon = { member, ledger, store }
    this.daemons.push(daemon)
    ledger.start()
    return daemon
  }

  /** Kills a daemon: it no longer sends, answers or receives anything. */
  kill (daemon: LedgerDaemon): void {
    daemon.store.disconnect()
    this.network.removeLink(daemon.member.address)
    this.daemons.splice(this.daemons.indexOf(daemon), 1)
  }

  /** Stops a daemon gracefully. */
  async stop (daemon: LedgerDaemon): Promise<void> {
    await daemon.ledger.stop()
    if (this.daemons.includes(daemon)) this.kill(daemon)
  }
}

/** A bill entry for a request of 20 completion tokens at a cost of one unit per token. */
export function billEntryFor (id: string, at = 0): BillEntry {
  return {
    id,
    organisation: 'harbour',
    kind: 'tagging',
    version: 'small@1',
    service: undefined,
    usage: { promptTokens: 300, cachedPromptTokens: 200, completionTokens: 20 },
    cost: 20,
    extraCost: 0,
    at
  }
}
