/** Waits until the process has read what the kernel had received for it. */
import type { Clock } from './clock.ts'

/** A longer round of the event loop may have left further input behind. */
const shortRoundMilliseconds = 5
/** The first round accepts connections, the second one reads their requests. */
const minimumRounds = 2
/** Rounds of a busy event loop are long; no further one begins after this time. */
export const maximumInputReadMilliseconds = 100

/**
 * Resolves right after a poll for input. Timers run before input is read, so after a stall of the event
 * loop a timer sees connections as idle whose requests have arrived.
 *
 * @example
 * await untilInputIsRead(clock)
 * connections.closeIdle()
 */
export async function untilInputIsRead (clock: Pick<Clock, 'now'>): Promise<void> {
  const startedAt = clock.now()
  for (let round = 1; ; round++) {
    const roundStartedAt = clock.now()
    await new Promise(resolve => setImmediate(resolve))
    const now = clock.now()
    const wasEnough = now - roundStartedAt < shortRoundMilliseconds || now - startedAt >= maximumInputReadMilliseconds
    if (round >= minimumRounds && wasEnough) return
  }
}
