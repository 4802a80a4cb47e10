/**
 * The turn of a request among those of its connection. Answers leave in order, and HTTP/1.1 can break one off only by
 * closing the connection, which loses all answers behind it. A request is therefore passed on only when every answer
 * ahead of it has left whole.
 */
import { type Clock, withDeadline } from '../contract/index.ts'

/** The turn of one request. */
export interface ResponseTurn {
  /** Whether no answer is ahead of it any more. */
  readonly hasCome: boolean
  readonly millisecondsSinceArrival: number
  /** Resolves with true when the turn comes, and with false when the connection closes before. */
  untilCome (): Promise<boolean>
}

/** How the wait for a turn ended. */
export const TurnOutcome = {
  Come: 'come',
  /** The deadline of the request came first. */
  Overdue: 'overdue',
  /** The connection closed first. */
  Closed: 'closed'
} as const
export type TurnOutcome = typeof TurnOutcome[keyof typeof TurnOutcome]

/** Of a request that is alone on its connection. */
export const immediateTurn: ResponseTurn = { hasCome: true, millisecondsSinceArrival: 0, untilCome: async () => true }

/**
 * Waits for a turn.
 *
 * @param deadline milliseconds of the clock
 * @example
 * if (await awaitTurn(turn, clock, deadline) !== TurnOutcome.Come) return refuse()
 */
export async function awaitTurn (turn: ResponseTurn, clock: Clock, deadline: number): Promise<TurnOutcome> {
  if (turn.hasCome) return TurnOutcome.Come
  const isOpen = await withDeadline(clock, deadline, turn.untilCome())
  if (isOpen === undefined) return TurnOutcome.Overdue
  return isOpen ? TurnOutcome.Come : TurnOutcome.Closed
}
