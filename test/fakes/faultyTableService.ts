/**
 * A table service with scripted faults: unavailable, slow, requests lost before the write took effect
 * and replies lost after it. A script decides the fault of each call.
 */
import { type Clock, Err, type Result } from '../../src/contract/index.ts'
import { type TransactionOutcome, type ScanPage, PlatformUnavailable, type ScanRange, type Row, type TableService, type Transaction } from '../../src/store/index.ts'
import { MemoryTableService } from '../../src/standin/index.ts'

/** The fault of one call. */
export const TableFault = {
  None: 'none',
  /** Refused at once; definitely not applied. */
  Down: 'down',
  /** The request is lost and not applied; the caller can't tell. */
  RequestLost: 'request_lost',
  /** The call is applied and its reply is lost; the caller can't tell. */
  ReplyLost: 'reply_lost'
} as const
export type TableFault = typeof TableFault[keyof typeof TableFault]

/** A call, as it is passed to the script. */
export type TableCall =
  | { readonly kind: 'read', readonly table: string, readonly key: string }
  | { readonly kind: 'scan', readonly table: string }
  | { readonly kind: 'transact', readonly transaction: Transaction }

/** The fault of a call and its delay in each direction. */
export interface ScriptedTableFault {
  readonly fault: TableFault
  /** Delay before the call takes effect. */
  readonly requestDelayMilliseconds?: number
  /** Delay from its effect to the reply. */
  readonly replyDelayMilliseconds?: number
}

export class FaultyTableService implements TableService {
  /** The stored rows, for tests to inspect and to share between fakes. */
  readonly memoryTable: MemoryTableService
  /** Decides the fault of each call. */
  script: (call: TableCall) => ScriptedTableFault = () => ({ fault: TableFault.None })
  readonly #clock: Clock

  constructor (clock: Clock, memory = new MemoryTableService()) {
    this.#clock = clock
    this.memoryTable = memory
  }

  read (table: string, key: string): Promise<Result<Row | undefined, PlatformUnavailable>> {
    return this.#call({ kind: 'read', table, key }, () => this.memoryTable.read(table, key))
  }

  scan (table: string, range: ScanRange): Promise<Result<ScanPage, PlatformUnavailable>> {
    return this.#call({ kind: 'scan', table }, () => this.memoryTable.scan(table, range))
  }

  transact (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformUnavailable>> {
    return this.#call({ kind: 'transact', transaction }, () => this.memoryTable.transact(transaction))
  }

  async #call<Value> (call: TableCall, execute: () => Promise<Result<Value, PlatformUnavailable>>): Promise<Result<Value, PlatformUnavailable>> {
    const scripted = this.script(call)
    const isWrite = call.kind === 'transact'
    if (scripted.fault === TableFault.Down) return Err(new PlatformUnavailable('down', false))
    if (scripted.requestDelayMilliseconds !== undefined) await this.#clock.sleep(scripted.requestDelayMilliseconds)
    if (scripted.fault === TableFault.RequestLost) return Err(new PlatformUnavailable('timeout', isWrite))
    const outcome = await execute()
    if (scripted.replyDelayMilliseconds !== undefined) await this.#clock.sleep(scripted.replyDelayMilliseconds)
    if (scripted.fault === TableFault.ReplyLost) return Err(new PlatformUnavailable('timeout', isWrite))
    return outcome
  }
}
