/** Reads a request's body within a bound of bytes and of time, so that no caller can hold memory or a place for long. */
import type { IncomingMessage } from 'node:http'
import { Err, Ok, Refusal, RefusalCode, type Result, RunState } from '../contract/index.ts'

/** Milliseconds within which a body must have come, where the caller of this function says nothing. */
const usualTimeoutMilliseconds = 15_000

/**
 * Reads a body whole.
 *
 * @param timeoutMilliseconds within which it must have come whole
 * @returns `BodyTooLarge` or `RequestTimeout`; the connection can't be used further then
 * @example
 * const body = await readBoundedBody(request, 1_048_576)
 */
export function readBoundedBody (request: IncomingMessage, limitBytes: number, timeoutMilliseconds = usualTimeoutMilliseconds): Promise<Result<Buffer, Refusal>> {
  const declared = Number(request.headers['content-length'] ?? 0)
  if (declared > limitBytes) return Promise.resolve(Err(tooLarge(limitBytes)))
  return new Promise(resolve => {
    const parts: Buffer[] = []
    let bytes = 0
    const finish = (outcome: Result<Buffer, Refusal>) => {
      clearTimeout(timer)
      request.off('data', take)
      resolve(outcome)
    }
    const take = (part: Buffer) => {
      bytes += part.length
      if (bytes > limitBytes) finish(Err(tooLarge(limitBytes)))
      else parts.push(part)
    }
    const timer = setTimeout(() => finish(Err(tooSlow())), timeoutMilliseconds)
    request.on('data', take)
    request.once('end', () => finish(Ok(Buffer.concat(parts))))
    request.once('error', () => finish(Err(tooSlow())))
    request.once('close', () => finish(Err(tooSlow())))
  })
}

function tooLarge (limitBytes: number): Refusal {
  return new Refusal(RefusalCode.BodyTooLarge, RunState.NotRun, `the body is larger than ${limitBytes} bytes`)
}

function tooSlow (): Refusal {
  return new Refusal(RefusalCode.RequestTimeout, RunState.NotRun, 'the body did not come whole in time')
}
