/** Reads request bodies with limits on size and time, so that no caller can hold memory or a request slot for long. */
import type { IncomingMessage } from 'node:http'
import { Err, Ok, Refusal, RefusalCode, type Result, RunState } from '../contract/index.ts'

const defaultTimeoutMilliseconds = 15_000

/**
 * Reads a complete request body.
 *
 * @param timeoutMilliseconds time within which the complete body must arrive
 * @returns the body, or a `BodyTooLarge` or `RequestTimeout` refusal, after which the connection can't be reused
 * @example
 * const body = await readBoundedBody(request, 1_048_576)
 */
export function readBoundedBody (request: IncomingMessage, maximumBytes: number, timeoutMilliseconds = defaultTimeoutMilliseconds): Promise<Result<Buffer, Refusal>> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0)
  if (declaredBytes > maximumBytes) return Promise.resolve(Err(bodyTooLarge(maximumBytes)))
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let receivedBytes = 0
    const finish = (outcome: Result<Buffer, Refusal>) => {
      clearTimeout(timer)
      request.off('data', receiveChunk)
      resolve(outcome)
    }
    const receiveChunk = (chunk: Buffer) => {
      receivedBytes += chunk.length
      if (receivedBytes > maximumBytes) finish(Err(bodyTooLarge(maximumBytes)))
      else chunks.push(chunk)
    }
    const timer = setTimeout(() => finish(Err(bodyTimedOut())), timeoutMilliseconds)
    request.on('data', receiveChunk)
    request.once('end', () => finish(Ok(Buffer.concat(chunks))))
    request.once('error', () => finish(Err(bodyTimedOut())))
    request.once('close', () => finish(Err(bodyTimedOut())))
  })
}

function bodyTooLarge (maximumBytes: number): Refusal {
  return new Refusal(RefusalCode.BodyTooLarge, RunState.NotRun, `the request body exceeds the limit of ${maximumBytes} bytes`)
}

function bodyTimedOut (): Refusal {
  return new Refusal(RefusalCode.RequestTimeout, RunState.NotRun, 'the request body was not received completely in time')
}
