/**
 * Whether an answer says where it ends. One that has neither a length nor chunks ends with its
 * connection, and an orderly close does not show that all of it came. It is passed on the same way:
 * to give it a length would vouch for what nobody knows.
 */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'

/**
 * Whether an answer's end can be told from its head.
 *
 * @example
 * if (!isSelfDelimited(head.headers)) delimitByConnectionClose(response)
 */
export function isSelfDelimited (headers: IncomingHttpHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/** Makes a response end with its connection, without a length and without chunks. */
export function delimitByConnectionClose (response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
}
