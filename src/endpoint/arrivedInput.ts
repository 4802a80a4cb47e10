/**
 * Waits until what has arrived of a response is read, however many turns of the event loop that takes. A connection
 * has a bounded part of each turn, so that after a stall of the event loop one poll for input is not enough.
 *
 * Nothing tells how much the kernel has received by a moment. All of it is read once the event loop has polled for input
 * and nothing more came, although the connection was not paused. A peer that sends without end is read no further than
 * a kernel can hold.
 */
import { type Clock, maximumInputReadMilliseconds } from '../contract/index.ts'
import { maximumTurnBytes } from './turnShare.ts'

/** Polls in a row that have to find nothing: a sender may still hold what the kernel had no room for. */
const quietTurns = 2
/** The kernel holds no more of one connection. */
const maximumArrivedBytes = 8 * 1024 * 1024
/** Turns that are waited for even if they are long, since another stall may come between them. */
const minimumTurns = maximumArrivedBytes / maximumTurnBytes

/** How far a response is read. */
export interface ReadingState {
  /** Whether its end or failure has come. */
  readonly isOver: boolean
  /** Whether its connection is not read at the moment. */
  readonly isPaused: boolean
  readonly receivedBytes: number
  /** Number of events so far, read or not. */
  readonly eventCount: number
}

/**
 * @example
 * await untilArrivedIsRead(exchange, clock)
 * exchange.abort('the deadline of the request has passed')
 */
export async function untilArrivedIsRead (reading: ReadingState, clock: Pick<Clock, 'now'>): Promise<void> {
  const startedAt = clock.now()
  const bytesBefore = reading.receivedBytes
  const isBounded = (turns: number) => turns < minimumTurns || clock.now() - startedAt < maximumInputReadMilliseconds
  let quiet = 0
  for (let turns = 0; !reading.isOver && quiet < quietTurns && isBounded(turns); turns++) {
    if (reading.receivedBytes - bytesBefore > maximumArrivedBytes) return
    const { eventCount, isPaused } = reading
    await new Promise(resolve => setImmediate(resolve))
    const isQuiet = !isPaused && !reading.isPaused && reading.eventCount === eventCount
    quiet = isQuiet ? quiet + 1 : 0
  }
}
