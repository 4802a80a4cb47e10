/** What makes two requests the same: method, host, path with its query, and body. Whose they are is told apart by organisation. */
import { createHash } from 'node:crypto'

const digestCharacters = 16

/** The content of a request, without anything that changes from one sending of it to the next. */
export interface RequestContent {
  readonly method: string
  readonly host: string
  /** With its query. */
  readonly path: string
  readonly body: Uint8Array
}

/**
 * Returns a digest of a request's content; it reveals nothing of it.
 *
 * @example
 * const request = requestDigest({ method: 'GET', host: 'desk.example', path: '/balance/7', body: new Uint8Array() })
 */
export function requestDigest ({ method, host, path, body }: RequestContent): string {
  const head = JSON.stringify([method, host, path])
  return createHash('sha256').update(head).update(body).digest('hex').slice(0, digestCharacters)
}
