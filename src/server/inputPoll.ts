/** Waits until the process has read what the kernel had received for it. */
import type { Clock } from '../contract/index.ts'

/** A longer round of the event loop may have left further input behind. */
const shortRoundMilliseconds = 5
/** The first round accepts connections, the second one reads their requests. */
const minimumRounds = 2
const maximumRounds = 10

/**
 * Resolves right after a poll for input. Timers run before input is read, so after a stall of the event
 * loop a timer sees connections as idle whose requests have arrived.
 *
 * @example
 * await untilInputIsRead(clock)
 * connections.closeIdle()
 */
export async function untilInputIsRead (clock: Clock): Promise<void> {
  for (let round = 1; round <= maximumRounds; round++) {
    const startedAt = clock.now()
    await new Promise(resolve => setImmediate(resolve))
    if (round >= minimumRounds && clock.now() - startedAt < shortRoundMilliseconds) return
  }
}
