/**
 * Starts the next run of a request. A run that was given up or refused as full may leave its request without an endpoint
 * for a moment: all were tried, or are full. A request that may have run can no longer be refused as not run, and a stream
 * that has begun would be cut, so such a request waits for an endpoint while its deadline, its attempts and the
 * retry budget allow it.
 */
import type { AttemptOptions, OpenAttempt } from './openAttempt.ts'
import type { HandedOverRequest } from './runHandover.ts'

/** Between two looks for an endpoint. */
const endpointCheckIntervalMilliseconds = 200

/** The request for which a run is started. */
export interface StartingRequest extends HandedOverRequest {
  /** Aborted when the caller disconnects. */
  readonly callerAbort: AbortController
}

export interface RunStart {
  /** What the run asks for; read again after a wait. */
  readonly options: () => AttemptOptions
  /** Whether it goes on with a response that the caller has begun to receive. */
  readonly isResumed: boolean
  /** Whether the request may wait for an endpoint after a run of it broke off. */
  readonly mayWait: boolean
}

/**
 * Starts a run at an endpoint.
 *
 * @returns undefined if none is possible
 * @example
 * const attempt = await startRun(request, { options: () => attemptOptions, isResumed: false, mayWait: true })
 */
export async function startRun (request: StartingRequest, { options, isResumed, mayWait }: RunStart): Promise<OpenAttempt | undefined> {
  const { attempts, callerAbort, dependencies: { clock }, selection } = request
  while (attempts.tryStart()) {
    const attemptOptions = options()
    const endpoint = await selection.awaitEndpoint(attemptOptions.model, isResumed)
    if (endpoint !== undefined) return attempts.send(endpoint, attemptOptions)
    if (!mayWait || !request.isRepeatable || !attempts.hasBrokenOff || selection.hasWaitedInVain) return undefined
    if (selection.allowRetries()) continue
    if (!selection.awaitsRoom(attemptOptions.model)) return undefined
    attempts.close()
    await clock.sleep(endpointCheckIntervalMilliseconds, callerAbort.signal)
  }
  return undefined
}
