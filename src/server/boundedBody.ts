/** Reads request bodies with limits on size, time and held bytes, so that no caller can hold memory or a request slot for long. */
import type { IncomingMessage } from 'node:http'
import { Err, Ok, Refusal, RefusalCode, type Result, RunState } from '../contract/index.ts'
import type { Holding } from './heldBytes.ts'
import { BodyEnd, IncomingBody } from './incomingBody.ts'

const defaultTimeoutMilliseconds = 15_000
const overloadRetrySeconds = 1

export interface BodyLimits {
  readonly maximumBytes: number
  /** Time within which the complete body must arrive. */
  readonly timeoutMilliseconds?: number
  /** The request's part of the bytes that the process holds; undefined where they are not counted. */
  readonly holding?: Pick<Holding, 'tryAdd'> | undefined
  /** Aborted when what the request holds is needed for others. */
  readonly evicted?: AbortSignal | undefined
}

/**
 * Reads a complete request body.
 *
 * @returns the body, or a `BodyTooLarge`, `RequestTimeout` or `Overloaded` refusal, after which the connection can't be reused
 * @example
 * const body = await readBoundedBody(request, { maximumBytes: 1_048_576 })
 */
export async function readBoundedBody (request: IncomingMessage, { maximumBytes, timeoutMilliseconds = defaultTimeoutMilliseconds, holding, evicted }: BodyLimits): Promise<Result<Buffer, Refusal>> {
  const body = IncomingBody.of(request)
  let refusal = refusalOnArrival(request, maximumBytes, evicted)
  const stopWith = (reason: Refusal) => {
    refusal ??= reason
    body.stop()
  }
  if (refusal !== undefined) stopWith(refusal)
  const evict = () => stopWith(overloaded())
  const timer = setTimeout(() => stopWith(bodyTimedOut()), timeoutMilliseconds)
  evicted?.addEventListener('abort', evict, { once: true })
  const end = await body.read((addedBytes, totalBytes) => {
    if (totalBytes > maximumBytes) refusal ??= bodyTooLarge(maximumBytes)
    else if (holding?.tryAdd(addedBytes) === false) refusal ??= overloaded()
    return refusal === undefined
  })
  clearTimeout(timer)
  evicted?.removeEventListener('abort', evict)
  if (refusal !== undefined) stopWith(refusal)
  if (end === BodyEnd.Complete && refusal === undefined) return Ok(body.take())
  return Err(refusal ?? (end === BodyEnd.Fragmented ? overloaded() : bodyTimedOut()))
}

function refusalOnArrival (request: IncomingMessage, maximumBytes: number, evicted: AbortSignal | undefined): Refusal | undefined {
  const declaredBytes = Number(request.headers['content-length'] ?? 0)
  if (declaredBytes > maximumBytes) return bodyTooLarge(maximumBytes)
  return evicted?.aborted ? overloaded() : undefined
}

function bodyTooLarge (maximumBytes: number): Refusal {
  return new Refusal(RefusalCode.BodyTooLarge, RunState.NotRun, `the request body exceeds the limit of ${maximumBytes} bytes`)
}

function bodyTimedOut (): Refusal {
  return new Refusal(RefusalCode.RequestTimeout, RunState.NotRun, 'the request body was not received completely in time')
}

function overloaded (): Refusal {
  return new Refusal(RefusalCode.Overloaded, RunState.NotRun, 'the process holds as many bytes for callers as it may', overloadRetrySeconds)
}
