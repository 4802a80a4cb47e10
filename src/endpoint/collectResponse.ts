/**
 * Reads a response into memory. A body delimited only by the connection's close can't be
 * distinguished from a truncated one, so it is treated as incomplete.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { Err, Ok, type Result } from '../contract/index.ts'
import { AttemptFailure, DeliveryState } from './contract.ts'
import type { Exchange } from './exchange.ts'
import type { ResponseHeadEvent } from './exchangeContract.ts'

/** A complete response. */
export interface CollectedResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

const maximumResponseBytes = 16 * 1024 * 1024
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304])

/**
 * Reads the remaining events of an exchange.
 *
 * @returns a failure with the request's delivery state
 * @example
 * const response = await collectResponse(exchange)
 * if (response.err) return response
 */
export async function collectResponse (exchange: Exchange): Promise<Result<CollectedResponse, AttemptFailure>> {
  const chunks: Buffer[] = []
  let receivedBytes = 0
  let status = 0
  let headers: IncomingHttpHeaders = {}
  for (;;) {
    const event = await exchange.next()
    if (event.type === 'failure') return failureOf(exchange, event.reason)
    if (event.type === 'end') return Ok({ status, headers, body: Buffer.concat(chunks) })
    if (event.type === 'head') {
      status = event.status
      headers = event.headers
      if (!isFramed(event)) return abortExchange(exchange, 'response has neither content-length nor transfer-encoding')
      continue
    }
    receivedBytes += event.bytes.length
    if (receivedBytes > maximumResponseBytes) return abortExchange(exchange, 'response exceeds 16 MiB')
    chunks.push(event.bytes)
  }
}

/**
 * Whether the end of a response can be told from that of its connection.
 *
 * @example
 * if (!isFramed(head)) exchange.abort('the response may have been cut short')
 */
export function isFramed ({ status, headers }: ResponseHeadEvent): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || bodilessStatuses.has(status)
}

function abortExchange (exchange: Exchange, reason: string): Result<CollectedResponse, AttemptFailure> {
  exchange.abort(reason)
  return failureOf(exchange, reason)
}

function failureOf (exchange: Exchange, reason: string): Result<CollectedResponse, AttemptFailure> {
  const delivery = exchange.mayHaveSent ? DeliveryState.PossiblySent : DeliveryState.NotSent
  return Err(new AttemptFailure(delivery, reason))
}
