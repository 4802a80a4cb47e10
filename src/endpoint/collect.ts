/**
 * Reads a short answer whole. A body that is ended only by the connection's close can't be told
 * from one that was cut, so it does not count as whole.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { Err, Ok, type Result } from '../contract/index.ts'
import { AttemptFailure, Reach } from './contract.ts'
import type { Exchange } from './exchange.ts'

/** A whole answer. */
export interface Collected {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

const answerBytesLimit = 16 * 1024 * 1024
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304])

/**
 * Reads an exchange to its end, from wherever it stands.
 *
 * @returns a failure that says how far the request can have come
 * @example
 * const answer = await collect(exchange)
 * if (answer.err) return answer
 */
export async function collect (exchange: Exchange): Promise<Result<Collected, AttemptFailure>> {
  const pieces: Buffer[] = []
  let bytes = 0
  let status = 0
  let headers: IncomingHttpHeaders = {}
  for (;;) {
    const event = await exchange.next()
    if (event.type === 'failure') return failed(exchange, event.reason)
    if (event.type === 'end') return Ok({ status, headers, body: Buffer.concat(pieces) })
    if (event.type === 'head') {
      status = event.status
      headers = event.headers
      const isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
      if (!isFramed && !bodilessStatuses.has(status)) return refuse(exchange, 'the answer has no length')
      continue
    }
    bytes += event.bytes.length
    if (bytes > answerBytesLimit) return refuse(exchange, 'the answer is too long')
    pieces.push(event.bytes)
  }
}

function refuse (exchange: Exchange, reason: string): Result<Collected, AttemptFailure> {
  exchange.giveUp(reason)
  return failed(exchange, reason)
}

function failed (exchange: Exchange, reason: string): Result<Collected, AttemptFailure> {
  const reach = exchange.mayHaveSent ? Reach.Maybe : Reach.Never
  return Err(new AttemptFailure(reach, reason))
}
