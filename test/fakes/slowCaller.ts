/** A caller that sends requests for large answers ahead, and reads none of them until it is told to. */
import type { EndpointStandIn } from '../../platform/standin/index.ts'
import { waitUntil } from './forwarderWorld.ts'
import { type RawCaller, pause, requestHead } from './rawCaller.ts'

/** Answers that are together more than the kernel takes for a connection whose caller does not read. */
export interface LargeAnswers {
  readonly count: number
  readonly bytes: number
}

/** Longer than the answers that the kernel takes need, so that the next one waits for the caller. */
const quietMilliseconds = 300

/** Sends the requests; resolves when no further one is passed on. */
export async function sendUnread (caller: RawCaller, { received }: EndpointStandIn, { count }: LargeAnswers): Promise<void> {
  caller.pause()
  caller.write(Array.from({ length: count }, (_, index) => requestHead(`/balance/${index}`, { id: `slow-${index}`, method: 'GET' })).join(''))
  await waitUntil(() => received.length > 0)
  for (let before = 0; before !== received.length; await pause(quietMilliseconds)) before = received.length
}

/** The requests that have neither a whole answer nor, if they were not passed on, a refusal. */
export function unansweredRequests (caller: RawCaller, endpoint: EndpointStandIn, { count, bytes }: LargeAnswers): readonly string[] {
  const passedOn = new Set(endpoint.received.map(({ path }) => path))
  const paths = Array.from({ length: count }, (_, index) => `/balance/${index}`)
  return paths.filter((path, index) => {
    const { status, bodyLength } = caller.responses[index] ?? {}
    return passedOn.has(path) ? status !== 200 || bodyLength !== bytes : status !== 503
  })
}
