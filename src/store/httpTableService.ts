/**
 * The table service over HTTP with JSON bodies. Replies are validated before use. After a
 * malformed reply to a transaction its outcome is unknown, as after a lost one.
 */
import * as z from 'zod'
import { Err, Ok, type Result } from '../contract/index.ts'
import { PlatformClient, type PlatformClientOptions } from './platformClient.ts'
import { TransactionOutcome, type ScanPage, PlatformUnavailable, type ScanRange, type Row, type TableService, type Transaction } from './platformServices.ts'

const rowSchema = z.object({ key: z.string(), version: z.number().int(), value: z.unknown() })
const readReplySchema = z.object({ row: rowSchema.nullable() })
const pageSchema = z.object({ rows: z.array(rowSchema), next: z.string().optional() })
const commitSchema = z.object({ commit: z.enum([TransactionOutcome.Committed, TransactionOutcome.Conflict]) })

/**
 * The platform's table service.
 *
 * @example
 * const table = new HttpTableService({ clock, address: '127.0.0.1:7100', timeoutMilliseconds: 2_000 })
 */
export class HttpTableService implements TableService {
  readonly #client: PlatformClient

  constructor (options: PlatformClientOptions) {
    this.#client = new PlatformClient(options)
  }

  async read (table: string, key: string): Promise<Result<Row | undefined, PlatformUnavailable>> {
    const reply = await this.#post('/tables/read', { table, key }, readReplySchema, false)
    return reply.map(({ row }) => row === null ? undefined : { ...row, value: row.value })
  }

  async scan (table: string, range: ScanRange): Promise<Result<ScanPage, PlatformUnavailable>> {
    const reply = await this.#post('/tables/scan', { table, range }, pageSchema, false)
    return reply.map(page => ({ rows: page.rows.map(row => ({ ...row, value: row.value })), next: page.next }))
  }

  async transact (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformUnavailable>> {
    const reply = await this.#post('/tables/transact', transaction, commitSchema, true)
    return reply.map(({ commit }) => commit)
  }

  /** Closes the connections at once; calls in progress fail. */
  close (): Promise<void> {
    return this.#client.close()
  }

  async #post<Value> (path: string, request: unknown, schema: z.ZodType<Value>, isWrite: boolean): Promise<Result<Value, PlatformUnavailable>> {
    const reply = await this.#client.requestJson({ method: 'POST', path, body: JSON.stringify(request), isWrite })
    if (reply.err) return reply
    const parsed = schema.safeParse(reply.val)
    if (!parsed.success) return Err(new PlatformUnavailable('the reply is malformed', isWrite))
    return Ok(parsed.data)
  }
}
