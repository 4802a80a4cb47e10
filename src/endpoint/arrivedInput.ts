/**
 * Waits until what has arrived of a response is read, however many turns of the event loop that takes. A connection
 * has a bounded part of each turn, so that after a stall of the event loop one poll for input is not enough.
 *
 * Nothing tells how much the kernel has received by a moment. All of it is read once the event loop has polled for input
 * and the connection was not paused meanwhile. A peer that sends without end is read no further than a kernel can hold.
 */
import type { Clock } from '../contract/index.ts'
import { maximumTurnBytes } from './turnShare.ts'

/** Polls in a row that have to read all: a sender may still hold what the kernel had no room for. */
const completePolls = 2
/** The kernel holds no more of one connection. */
const maximumArrivedBytes = 8 * 1024 * 1024
/** Turns that are waited for even if they are long, since another stall may come between them. */
const minimumTurns = maximumArrivedBytes / maximumTurnBytes
/** No further one begins after this time, though. */
const maximumTurnsMilliseconds = 400

/** How far a response is read. */
export interface ReadingState {
  /** Whether its end or failure has come. */
  readonly isOver: boolean
  /** Whether its connection is not read at the moment. */
  readonly isPaused: boolean
  readonly receivedBytes: number
}

/**
 * @param maximumMilliseconds after which a response that goes on without end is read no further
 * @example
 * await untilArrivedIsRead(exchange, clock, 100)
 * exchange.abort('the deadline of the request has passed')
 */
export async function untilArrivedIsRead (reading: ReadingState, clock: Pick<Clock, 'now'>, maximumMilliseconds: number): Promise<void> {
  const startedAt = clock.now()
  const bytesBefore = reading.receivedBytes
  const mayGoOn = (turns: number) => {
    const milliseconds = clock.now() - startedAt
    return milliseconds < maximumMilliseconds || (turns < minimumTurns && milliseconds < maximumTurnsMilliseconds)
  }
  let complete = 0
  for (let turns = 0; !reading.isOver && complete < completePolls && mayGoOn(turns); turns++) {
    if (reading.receivedBytes - bytesBefore > maximumArrivedBytes) return
    const { isPaused } = reading
    await new Promise(resolve => setImmediate(resolve))
    complete = isPaused || reading.isPaused ? 0 : complete + 1
  }
}
