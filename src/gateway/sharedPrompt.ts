/** What forwarded requests share with others, as the circuit breaker looks at it. */
import type { IncomingMessage } from 'node:http'
import { type SharedPrompt, requestDigest } from '../breaker/index.ts'
import type { RequestHead, RoutedOrganisation } from '../routing/index.ts'

/** A request that was read to its end. */
export interface ReadRequest {
  readonly request: IncomingMessage
  readonly head: RequestHead
  readonly body: Buffer
  readonly organisation: RoutedOrganisation | undefined
}

/**
 * Returns what a request shares with others: parts of its prompt, and all of it with its repeats.
 *
 * @example
 * const admission = breaker.admit(sharedPromptOf({ request, head, body, organisation }), now)
 */
export function sharedPromptOf ({ request, head, body, organisation }: ReadRequest): SharedPrompt {
  const { method = 'GET', url = '/', headers } = request
  return {
    organisation: organisation?.name ?? '',
    parts: head.promptParts.slice(0, -1).map(({ id }) => id),
    request: requestDigest({ method, host: headers.host ?? '', path: url, body })
  }
}
