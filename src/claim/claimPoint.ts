/**
 * Every place where a daemon waits between claiming a request and recording its answer. A process
 * can be killed or paused at any of them, so they are enumerated here and each wait of this module
 * goes through `ClaimSteps.wait` with its point: a new wait can't be written without naming one,
 * and a test visits them all.
 */

/** The waits, in the order in which a request meets them. */
export const ClaimPoint = {
  /** The conditional insert of the prepared row. */
  Prepare: 'prepare',
  /** Reading a row: to see who holds a claim, or what became of a write whose reply was lost. */
  ReadBack: 'read_back',
  /** The compare-and-set to dispatching: the point of no return. */
  Dispatch: 'dispatch',
  /** The call to the service, made by the one who holds the claim. */
  Call: 'call',
  /** Recording the answer. */
  Settle: 'settle',
  /** Recording that nothing was sent. */
  Release: 'release',
  /** Recording that the outcome can't be told. */
  LeaveUnknown: 'leave_unknown',
  /** Asking the service what became of a request in doubt. */
  Ask: 'ask',
  /** Recording what the service said. */
  Resolve: 'resolve',
  /** Waiting before a write in the background is tried again. */
  Pause: 'pause'
} as const
export type ClaimPoint = typeof ClaimPoint[keyof typeof ClaimPoint]

/** Watches the waits; a test's observer may hold one for a while or for ever. */
export interface ClaimObserver {
  /** Called before the work at a point begins. */
  before (point: ClaimPoint): Promise<void>
  /** Called when the work at a point is over, before its outcome is used. */
  after (point: ClaimPoint): Promise<void>
}

/** Runs the waits of claims; without an observer it adds nothing. */
export class ClaimSteps {
  readonly #observer: ClaimObserver | undefined

  constructor (observer?: ClaimObserver) {
    this.#observer = observer
  }

  /**
   * Does one wait.
   *
   * @example
   * const answer = await steps.wait(ClaimPoint.Call, () => client.call(endpoint, call, mayStillSend, signal))
   */
  async wait<Value> (point: ClaimPoint, work: () => Promise<Value>): Promise<Value> {
    const observer = this.#observer
    if (observer === undefined) return work()
    await observer.before(point)
    const value = await work()
    await observer.after(point)
    return value
  }
}
