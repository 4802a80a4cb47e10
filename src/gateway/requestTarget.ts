/**
 * The target of a request. A caller may send it in absolute form, as to a proxy (RFC 9112, 3.2.2): its host then goes
 * before the Host field, and its endpoint gets the path alone.
 */
import type { IncomingMessage } from 'node:http'
import { hasValidHostField } from '../server/index.ts'

const absolutePattern = /^http:\/\/([^/?#]*)(.*)$/i
const userInformationMark = '@'

/** What of a request names its target. */
export type TargetedRequest = Pick<IncomingMessage, 'headers' | 'httpVersionMinor' | 'rawHeaders' | 'url'>

/**
 * Brings the target of a request into the form that all others have: the host in its Host field, and the path as its URL.
 *
 * @returns false if the request names no host, or more than one
 * @example
 * if (!tryNormaliseTarget(request)) return refuse(ForwardRefusals.malformedHead)
 */
export function tryNormaliseTarget (request: TargetedRequest): boolean {
  if (!hasValidHostField(request)) return false
  const absolute = absolutePattern.exec(request.url ?? '')
  if (absolute === null) return true
  const [, host = '', path = ''] = absolute
  if (host === '' || host.includes(userInformationMark)) return false
  request.headers.host = host
  request.url = path.startsWith('/') ? path : `/${path}`
  return true
}
