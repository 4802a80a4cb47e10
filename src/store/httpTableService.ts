/**
 * The table service over HTTP with JSON bodies. Replies are checked before they are believed: a
 * malformed reply to a transaction leaves its fate open, as a lost one does.
 */
import { z } from 'zod'
import { Err, Ok, type Result } from '../contract/index.ts'
import { HttpConnection, type HttpPlatformOptions } from './httpConnection.ts'
import { Commit, type Page, PlatformUnavailable, type Range, type Row, type TableService, type Transaction } from './tableService.ts'

const rowShape = z.object({ key: z.string(), version: z.number().int(), value: z.unknown() })
const readShape = z.object({ row: rowShape.nullable() })
const pageShape = z.object({ rows: z.array(rowShape), next: z.string().optional() })
const commitShape = z.object({ commit: z.enum([Commit.Committed, Commit.Conflict]) })

/**
 * The platform's table service.
 *
 * @example
 * const table = new HttpTableService({ address: '127.0.0.1:7100', timeoutMilliseconds: 2_000 })
 */
export class HttpTableService implements TableService {
  readonly #connection: HttpConnection

  constructor (options: HttpPlatformOptions) {
    this.#connection = new HttpConnection(options)
  }

  async read (table: string, key: string): Promise<Result<Row | undefined, PlatformUnavailable>> {
    const reply = await this.#post('/tables/read', { table, key }, readShape, false)
    return reply.map(({ row }) => row === null ? undefined : { ...row, value: row.value })
  }

  async scan (table: string, range: Range): Promise<Result<Page, PlatformUnavailable>> {
    const reply = await this.#post('/tables/scan', { table, range }, pageShape, false)
    return reply.map(page => ({ rows: page.rows.map(row => ({ ...row, value: row.value })), next: page.next }))
  }

  async transact (transaction: Transaction): Promise<Result<Commit, PlatformUnavailable>> {
    const reply = await this.#post('/tables/transact', transaction, commitShape, true)
    return reply.map(({ commit }) => commit)
  }

  /** Closes the connections at once; calls that run fail. */
  close (): Promise<void> {
    return this.#connection.close()
  }

  async #post<Value> (path: string, question: unknown, shape: z.ZodType<Value>, isWrite: boolean): Promise<Result<Value, PlatformUnavailable>> {
    const reply = await this.#connection.askJson({ method: 'POST', path, body: JSON.stringify(question), isWrite })
    if (reply.err) return reply
    const parsed = shape.safeParse(reply.val)
    if (!parsed.success) return Err(new PlatformUnavailable('the reply is malformed', isWrite))
    return Ok(parsed.data)
  }
}
