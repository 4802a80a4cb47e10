/**
 * A table service whose faults a test scripts: down, slow, replies lost after the write took
 * effect, requests lost before it. Each call asks the script what befalls it.
 */
import { type Clock, Err, type Result } from '../../src/contract/index.ts'
import { type TransactionOutcome, type ScanPage, PlatformUnavailable, type ScanRange, type Row, type TableService, type Transaction } from '../../src/store/index.ts'
import { MemoryTableService } from '../../src/standin/index.ts'

/** What befalls one call. */
export const TableFault = {
  None: 'none',
  /** Refused at once; certainly not applied. */
  Down: 'down',
  /** Never arrives; the caller can't tell. */
  RequestLost: 'request_lost',
  /** Takes effect; the caller can't tell. */
  ReplyLost: 'reply_lost'
} as const
export type TableFault = typeof TableFault[keyof typeof TableFault]

/** One call, as the script sees it. */
export type TableCall =
  | { readonly kind: 'read', readonly table: string, readonly key: string }
  | { readonly kind: 'scan', readonly table: string }
  | { readonly kind: 'transact', readonly transaction: Transaction }

/** What befalls a call, and how long it takes each way. */
export interface ScriptedTableFault {
  readonly fault: TableFault
  /** Milliseconds before the call takes effect. */
  readonly requestDelayMilliseconds?: number
  /** Milliseconds from its effect to the reply. */
  readonly replyDelayMilliseconds?: number
}

export class FaultyTableService implements TableService {
  /** The rows themselves, for a test to look at and to share between fakes. */
  readonly memoryTable: MemoryTableService
  /** Says what befalls each call. */
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
