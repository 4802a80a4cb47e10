/**
 * Reads a caller's body whole. A request is sent to an endpoint only when all of it is here, so a
 * caller that stops halfway never leaves half a request running, and an attempt can be repeated.
 */
import type { IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from '../contract/index.ts'

/** Why a body can't be used. */
export const BodyFault = {
  TooLarge: 'too_large',
  /** The caller left before its end. */
  Broken: 'broken'
} as const
export type BodyFault = typeof BodyFault[keyof typeof BodyFault]

/**
 * Reads a body.
 *
 * @param limit in bytes
 * @example
 * const body = await readCallerBody(request, settings.limits.bodyBytes)
 */
export async function readCallerBody (request: IncomingMessage, limit: number): Promise<Result<Buffer, BodyFault>> {
  if (Number(request.headers['content-length'] ?? 0) > limit) return Err(BodyFault.TooLarge)
  const chunks: Buffer[] = []
  let bytes = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length
      if (bytes > limit) return Err(BodyFault.TooLarge)
      chunks.push(chunk)
    }
  } catch {
    return Err(BodyFault.Broken)
  }
  if (!request.complete) return Err(BodyFault.Broken)
  return Ok(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks))
}
