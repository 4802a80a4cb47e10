/** Back-pressure of callers: waits until what was written to a response has been taken. */

/**
 * Resolves when the response can accept more data or the caller has disconnected.
 *
 * @example
 * if (!response.write(bytes)) await waitForDrain(response, callerAbort.signal)
 */
export function waitForDrain (response: NodeJS.WritableStream, left: AbortSignal): Promise<void> {
  if (left.aborted) return Promise.resolve()
  return new Promise(resolve => {
    const done = () => {
      response.removeListener('drain', done)
      left.removeEventListener('abort', done)
      resolve()
    }
    response.once('drain', done)
    left.addEventListener('abort', done, { once: true })
  })
}
