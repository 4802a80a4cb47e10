/** Reads a request's body within a bound of bytes and of time, so that no caller can hold memory or a place for long. */
import type { IncomingMessage } from 'node:http'
import { Err, Ok, Refusal, RefusalCode, type Result, RunState } from '../contract/index.ts'

/** Milliseconds within which a body must have come, where the caller of this function says nothing. */
const defaultTimeoutMilliseconds = 15_000

/**
 * Reads a body whole.
 *
 * @param timeoutMilliseconds within which it must have come whole
 * @returns `BodyTooLarge` or `RequestTimeout`; the connection can't be used further then
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
  return new Refusal(RefusalCode.BodyTooLarge, RunState.NotRun, `the body is larger than ${maximumBytes} bytes`)
}

function bodyTimedOut (): Refusal {
  return new Refusal(RefusalCode.RequestTimeout, RunState.NotRun, 'the body did not come whole in time')
}
