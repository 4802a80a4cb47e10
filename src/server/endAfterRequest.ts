/**
 * Ends a response that was written before its request was read to its end. If the connection were closed
 * under the rest of the request, the kernel would reset it, and the caller might never see the response.
 */
import type { ServerResponse } from 'node:http'
import { CloseCause, recordCloseCause } from './closeCause.ts'
import { discardInput, discardsInput } from './discardInput.ts'
import { IncomingBody } from './incomingBody.ts'

/** After the response, the rest of its request is read for at most this time and up to so many bytes. */
const maximumDiscardMilliseconds = 3_000
const maximumDiscardedBytes = 4 * 1024 * 1024

/**
 * Reads and discards the rest of a request within bounds, and ends its response then. The connection is
 * kept if the request was read to its end, and closed otherwise.
 *
 * @param response written completely, but not ended
 * @example
 * response.writeHead(413, { 'content-length': body.length })
 * response.write(body)
 * endAfterRequest(response)
 */
export function endAfterRequest (response: ServerResponse): void {
  const { req: request } = response
  if (discardsInput(request.socket)) return endConnectionAfter(response)
  let discardedBytes = 0
  const end = () => {
    clearTimeout(timer)
    request.off('data', discard)
    response.end()
  }
  const giveUp = () => {
    clearTimeout(timer)
    request.off('data', discard)
    recordCloseCause(request.socket, CloseCause.BodyUnread)
    discardInput(request.socket)
    endConnectionAfter(response)
  }
  const discard = (chunk: Buffer) => {
    discardedBytes += chunk.length
    if (discardedBytes > maximumDiscardedBytes) giveUp()
  }
  const timer = setTimeout(giveUp, maximumDiscardMilliseconds)
  IncomingBody.of(request).stop()
  request.on('data', discard)
  request.resume()
  request.once('end', end)
  request.once('close', end)
}

/** The end of the request is not looked for any more. */
function endConnectionAfter (response: ServerResponse): void {
  const { socket } = response.req
  response.once('finish', () => socket.destroySoon())
  response.end()
}
