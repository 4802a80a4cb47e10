/**
 * The wait of a request for the answers ahead of it on its connection. What it holds meanwhile is counted and may be needed
 * for others; its deadline counts from its arrival; a planned stop ends the wait in time for a refusal.
 */
import type { Clock } from '../contract/index.ts'
import { type ResponseTurn, TurnOutcome, awaitTurn } from '../server/index.ts'
import type { PlannedStop, WaitLimit } from './plannedStop.ts'

export const TurnWaitEnd = {
  ...TurnOutcome,
  /** A planned stop leaves no time for the request. */
  Stopping: 'stopping',
  /** What the request holds is needed for others. */
  Evicted: 'evicted'
} as const
export type TurnWaitEnd = typeof TurnWaitEnd[keyof typeof TurnWaitEnd]

/** What may end the wait before the turn comes. */
export interface TurnWaitLimits {
  readonly plannedStop: Pick<PlannedStop, 'orEnd'>
  /** Milliseconds of the process's clock. */
  readonly deadline: number
  readonly sendWindow: WaitLimit
  readonly evicted: AbortSignal
}

/**
 * @example
 * const wait = new TurnWait(turn, clock)
 * const end = await wait.run({ plannedStop, deadline, sendWindow, evicted: holding.evicted })
 */
export class TurnWait {
  readonly #turn: ResponseTurn
  readonly #clock: Clock
  #milliseconds: number | undefined

  constructor (turn: ResponseTurn, clock: Clock) {
    this.#turn = turn
    this.#clock = clock
  }

  /** How long it took, rounded; undefined if there was nothing to wait for. */
  get milliseconds (): number | undefined {
    return this.#milliseconds
  }

  async run ({ plannedStop, deadline, sendWindow, evicted }: TurnWaitLimits): Promise<TurnWaitEnd> {
    if (this.#turn.hasCome) return TurnWaitEnd.Come
    const startedAt = this.#clock.now()
    const turnOrEviction = Promise.race([awaitTurn(this.#turn, this.#clock, deadline), untilAborted(evicted)])
    const end = await plannedStop.orEnd(turnOrEviction, sendWindow)
    this.#milliseconds = Math.round(this.#clock.now() - startedAt)
    return end ?? TurnWaitEnd.Stopping
  }
}

function untilAborted (evicted: AbortSignal): Promise<typeof TurnWaitEnd.Evicted> {
  return new Promise(resolve => {
    if (evicted.aborted) resolve(TurnWaitEnd.Evicted)
    else evicted.addEventListener('abort', () => resolve(TurnWaitEnd.Evicted), { once: true })
  })
}
