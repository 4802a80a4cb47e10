/**
 * HTTP response framing. A response with neither a content length nor chunked encoding is delimited by
 * the close of its connection, and an orderly close does not prove that it is complete. It is relayed
 * the same way, since adding a length would claim a completeness that is not known.
 */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'

/**
 * Whether a response's headers delimit its body.
 *
 * @example
 * if (!isSelfDelimited(head.headers)) delimitByConnectionClose(response)
 */
export function isSelfDelimited (headers: IncomingHttpHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/** Delimits a response by the close of its connection, without a content length or chunked encoding. */
export function delimitByConnectionClose (response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
}
