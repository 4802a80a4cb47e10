/** The Host field of a request, which RFC 9112 (3.2) asks for: one in HTTP/1.1, at most one before. */
import type { IncomingMessage } from 'node:http'

const hostName = 'host'

/**
 * Whether a request has as many Host fields as its version asks for.
 *
 * @example
 * if (!hasValidHostField(request)) refuse(400)
 */
export function hasValidHostField ({ httpVersionMinor, rawHeaders }: Pick<IncomingMessage, 'httpVersionMinor' | 'rawHeaders'>): boolean {
  const count = rawHeaders.filter((text, index) => index % 2 === 0 && text.length === hostName.length && text.toLowerCase() === hostName).length
  return count === 1 || (count === 0 && httpVersionMinor === 0)
}
