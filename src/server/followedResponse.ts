/** Responses behind which a further request of their connection was read, so that they must not end the connection. */
import type { ServerResponse } from 'node:http'

/** Kept at the response itself: the launcher and the program that it loads each have a copy of this module. */
const followedKey = Symbol.for('lavenderdoor.followedResponse')
type MarkedResponse = ServerResponse & { [followedKey]?: true }

/**
 * Marks a response when the next request of its connection has been read.
 *
 * @example
 * markFollowed(previous)
 */
export function markFollowed (response: MarkedResponse): void {
  response[followedKey] = true
}

/**
 * Whether a further request of its connection has been read.
 *
 * @example
 * if (!isFollowed(response)) response.shouldKeepAlive = false
 */
export function isFollowed (response: MarkedResponse): boolean {
  return response[followedKey] === true
}
