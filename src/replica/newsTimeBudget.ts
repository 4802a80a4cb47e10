/**
 * Divides the time in which a change at the store must be in force at every gateway over the hops on its way: the store's
 * call of a gateway or of a relay, and the relay's call of a follower. All waits for news are taken from here, so that
 * their sum stays within the time however many of the open connections are silent:
 *
 * - A gateway that follows the store notices a silent connection when a call that the store may hold is overdue, and asks at
 *   once over a new connection with a call that the store does not hold.
 * - A gateway that follows a relay asks the store in the same way as soon as what it knows reaches the maximum age,
 *   whatever holds up the relay or the link to it. While all connections work, its age stays below that.
 */
import { type CancellableSignal, type Clock, deadlineSignal, replyTimeoutSignal } from '../contract/index.ts'

/** Allowance for a reply of a store that answers fifty times as slowly as usual, and for the round trip between regions. */
const storeReplyMilliseconds = 500
/** Allowance for a reply to a call that is not held, which is asked last: there is nothing better to do than to wait. */
const lastStoreReplyMilliseconds = 900
/** Allowance for a relay's reply: the round trip between regions and a busy relay. */
export const relayReplyMilliseconds = 400
/** From one reply to the next call, which batches changes in quick succession, and until a change is in force. */
const processingMilliseconds = 250
/** What a hop over a relay takes beyond the two waits while all connections work. */
const relayHopMilliseconds = 350
/** Share of the waits on the way over a relay that the store may hold the relay's call. */
const relayStoreShare = 0.7
const maximumStoreWaitMilliseconds = 3_000
/** Shorter waits would be a tight loop; the time can't be kept if it leaves less. */
const minimumWaitMilliseconds = 100

/** The waits of each hop, in milliseconds. */
export interface NewsTimeBudget {
  /** How long the store may hold a call of a gateway that no other follows. */
  readonly storeWaitMilliseconds: number
  /** How long the store may hold a call of a relay. */
  readonly relayStoreWaitMilliseconds: number
  /** How long a relay may hold the call of a follower. */
  readonly relayWaitMilliseconds: number
  /** A relay holds the call of a follower no longer than until the follower's tables reach this age, so that its reply comes before the maximum age. */
  readonly relayedAgeMilliseconds: number
  /** The store is asked directly when it last confirmed a follower's tables this long ago. */
  readonly maximumAgeMilliseconds: number
}

/**
 * Divides the time.
 *
 * @param allowedMilliseconds from the store's acknowledgement of a change until it must be in force
 * @example
 * const budget = divideNewsTime(boot.changeApplyTimeoutMilliseconds)
 */
export function divideNewsTime (allowedMilliseconds: number): NewsTimeBudget {
  const maximumAgeMilliseconds = Math.max(2 * minimumWaitMilliseconds, allowedMilliseconds - storeReplyMilliseconds - processingMilliseconds)
  const relayedAgeMilliseconds = maximumAgeMilliseconds - relayHopMilliseconds
  const storeWaitMilliseconds = boundWait(maximumAgeMilliseconds - storeReplyMilliseconds)
  return {
    storeWaitMilliseconds,
    relayStoreWaitMilliseconds: Math.min(storeWaitMilliseconds, boundWait(relayedAgeMilliseconds * relayStoreShare)),
    relayWaitMilliseconds: boundWait(relayedAgeMilliseconds * (1 - relayStoreShare)),
    relayedAgeMilliseconds,
    maximumAgeMilliseconds
  }
}

/**
 * Time after which a feed call fails.
 *
 * @param waitMilliseconds how long the store may hold it
 * @example
 * const timeout = feedCallTimeoutMilliseconds(2_000)
 */
export function feedCallTimeoutMilliseconds (waitMilliseconds: number): number {
  return waitMilliseconds + (waitMilliseconds > 0 ? storeReplyMilliseconds : lastStoreReplyMilliseconds)
}

/**
 * A signal that aborts when the reply to a feed call is overdue. The end of a call that the store holds does not move when
 * this process is held up: the store answers at its own time, and the sum of the waits stays within the time.
 *
 * @param waitMilliseconds how long the store may hold the call
 * @example
 * const timeout = feedCallTimeout(clock, 2_000)
 */
export function feedCallTimeout (clock: Clock, waitMilliseconds: number): CancellableSignal {
  const timeoutMilliseconds = feedCallTimeoutMilliseconds(waitMilliseconds)
  return waitMilliseconds > 0 ? deadlineSignal(clock, clock.now() + timeoutMilliseconds) : replyTimeoutSignal(clock, timeoutMilliseconds)
}

function boundWait (milliseconds: number): number {
  return Math.round(Math.min(maximumStoreWaitMilliseconds, Math.max(minimumWaitMilliseconds, milliseconds)))
}
