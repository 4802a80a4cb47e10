/** Reads the body of a response into memory, up to a bound. */
import type { Readable } from 'node:stream'
import { Err, Ok, type Result } from '../contract/index.ts'

/**
 * Reads a body.
 *
 * @returns an error, with the connection closed, if the body is longer than the bound
 * @example
 * const body = await readBoundedResponse(response.body, 16 * 1024 * 1024)
 */
export async function readBoundedResponse (body: Readable, maximumBytes: number): Promise<Result<Buffer, string>> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += (chunk as Buffer).length
    // Leaving the loop destroys the stream and its connection.
    if (bytes > maximumBytes) return Err(`the response is longer than ${maximumBytes} bytes`)
    chunks.push(chunk as Buffer)
  }
  return Ok(Buffer.concat(chunks))
}
