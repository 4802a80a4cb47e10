/**
 * Every point where a daemon waits between claiming a request and recording its answer. A process can be
 * killed or paused at any of them, so each wait of this module goes through `ClaimSteps.wait` with one of
 * the points listed here. A test checks that each wait names its point and interrupts a request at the points.
 */

/** The waits, in the order in which a request reaches them. */
export const ClaimPoint = {
  /** The conditional insert of the prepared row. */
  Prepare: 'prepare',
  /** Reading a row to find a claim's holder or the outcome of a write whose reply was lost. */
  ReadBack: 'read_back',
  /** The compare-and-set to dispatching: the point of no return. */
  Dispatch: 'dispatch',
  /** The call to the service, made by the claim's holder. */
  Call: 'call',
  /** Recording the answer. */
  Settle: 'settle',
  /** Recording that nothing was sent. */
  Release: 'release',
  /** Recording that the outcome is unknown. */
  LeaveUnknown: 'leave_unknown',
  /** Querying the service for the outcome of a request whose outcome is unknown. */
  Ask: 'ask',
  /** Recording the service's reply. */
  Resolve: 'resolve',
  /** Delay before a read or a background change is retried. */
  Pause: 'pause'
} as const
export type ClaimPoint = typeof ClaimPoint[keyof typeof ClaimPoint]

/** Observes the waits; a test's observer may delay one or block it forever. */
export interface ClaimObserver {
  /** Called before the operation at a point starts. */
  before (point: ClaimPoint): Promise<void>
  /** Called after the operation at a point, before its result is used. */
  after (point: ClaimPoint): Promise<void>
}

/** Runs the waits of claims; without an observer it adds no steps of its own. */
export class ClaimSteps {
  readonly #observer: ClaimObserver | undefined

  constructor (observer?: ClaimObserver) {
    this.#observer = observer
  }

  /**
   * Runs the operation at one point.
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
