/**
 * Gives a run of a request up for another one, and only once the other is certain. A look at the present run reserves
 * retry budget, an endpoint that need not be queued for and its place under a rate limit, and opens the connection, all
 * in one event-loop turn; the present run is read on meanwhile. In the turn that writes the other run the present one
 * is closed, so that two runs of a request are never at work beside each other. If the present run has sent something
 * by then, or the other can't be written, what was reserved is given back and the present run goes on. A run that takes
 * the place of a silent one is sent on a connection of its own, whose opening shows that the endpoint accepts it. Requests
 * that may run only once are never given up.
 */
import { untilInputIsRead } from '../contract/index.ts'
import type { ExchangeEvent } from '../endpoint/index.ts'
import { AttemptEnd } from '../placement/index.ts'
import type { RoutedEndpoint } from '../routing/index.ts'
import type { EndpointSelection } from './endpointSelection.ts'
import type { ForwardingDependencies } from './forwardingDependencies.ts'
import type { AttemptOptions, OpenAttempt } from './openAttempt.ts'
import type { RequestAttempts } from './requestAttempts.ts'

/** A run that may be silent for long is looked at again after this time. */
export const silenceCheckIntervalMilliseconds = 200

/** The request whose run may be given up for another one. */
export interface HandedOverRequest {
  /** Whether it may be sent again once it may have run. */
  readonly isRepeatable: boolean
  readonly attempts: RequestAttempts
  readonly selection: EndpointSelection
  readonly dependencies: Pick<ForwardingDependencies, 'clock'>
}

/** A run that is to be given up for another one. */
export interface PlannedHandover {
  readonly present: OpenAttempt
  /** What the other run asks for. */
  readonly next: Omit<AttemptOptions, 'replacement'>
  /** Whether the other run goes on with a response that the caller has begun to receive. */
  readonly isResumed: boolean
  /** Whether the present run is kept if it sends something before the other is written. */
  readonly endsWithOutput: boolean
  /** Closes the present run; called in the event-loop turn that writes the other. */
  readonly closePresent: (nextEndpoint: RoutedEndpoint) => void
}

/**
 * @example
 * const event = await handover.beginUnlessReceived(planned)
 * if (handover.hasReplaced(planned.present)) read(handover.takeNext())
 */
export class RunHandover {
  readonly #request: HandedOverRequest
  #replaced: OpenAttempt | undefined
  #next: OpenAttempt | undefined
  #isWritten = false
  #isCancelled = false
  #wakeWaiting: () => void = () => undefined

  constructor (request: HandedOverRequest) {
    this.#request = request
  }

  /** Whether another run could take the place of the present one now. */
  mayBegin (planned: PlannedHandover): boolean {
    return this.#next === undefined && this.#certainEndpoint(planned) !== undefined
  }

  /** Begins another run, if one is possible; returns whether one is being connected or was written. */
  tryBegin (planned: PlannedHandover): boolean {
    if (this.#next !== undefined) return true
    const endpoint = this.#certainEndpoint(planned)
    if (endpoint === undefined || !this.#request.attempts.tryStart()) return false
    this.#begin(planned, endpoint)
    return true
  }

  /**
   * Begins another run, if one is possible. After a stall of the event loop a run looks silent although its next event
   * has arrived, or one of another run of its endpoint, which shows that the endpoint is not gone.
   *
   * @param isStillSilent whether the present run is to be given up once all that has arrived was read
   * @returns the event of the present run that had arrived; undefined if there was none
   */
  async beginUnlessReceived (planned: PlannedHandover, isStillSilent: () => boolean = () => true): Promise<ExchangeEvent | undefined> {
    if (!this.mayBegin(planned)) return undefined
    const { exchange } = planned.present
    await untilInputIsRead(this.#request.dependencies.clock)
    const arrived = exchange.poll()
    if (arrived !== undefined) return arrived
    // Other runs that have waited for the same input take theirs in this turn.
    await new Promise(resolve => setImmediate(resolve))
    const event = exchange.poll()
    if (event === undefined && isStillSilent()) this.tryBegin(planned)
    return event
  }

  /** Resolves when the run that was begun is written or has ended unsent. */
  async untilDecided (): Promise<void> {
    if (this.#next === undefined || this.#isWritten) return
    await new Promise<void>(resolve => { this.#wakeWaiting = resolve })
  }

  /** Keeps the present run; what was reserved for another is given back. */
  cancel (): void {
    if (this.#next === undefined || this.#isWritten) return
    this.#isCancelled = true
    this.#next.exchange.abort('the present run goes on')
  }

  /** Whether another run was written in the place of a run, which has been closed. */
  hasReplaced (attempt: OpenAttempt): boolean {
    return this.#replaced === attempt
  }

  /** The run that was written in the place of the one before, to be read now; undefined if there is none. */
  takeNext (): OpenAttempt | undefined {
    if (!this.#isWritten) return undefined
    const next = this.#next
    this.#next = undefined
    this.#isWritten = false
    return next
  }

  #certainEndpoint ({ next, isResumed }: PlannedHandover): RoutedEndpoint | undefined {
    const { attempts, isRepeatable, selection } = this.#request
    if (!isRepeatable || attempts.left < 2 || !attempts.allowsRetry) return undefined
    return selection.chooseAtOnce(next.model, isResumed)
  }

  #begin ({ present, next, endsWithOutput, closePresent }: PlannedHandover, endpoint: RoutedEndpoint): void {
    const { eventCount } = present.exchange
    this.#isCancelled = false
    const attempt = this.#request.attempts.send(endpoint, {
      ...next,
      replacement: {
        isStillWanted: () => {
          this.#isCancelled = endsWithOutput && present.exchange.eventCount !== eventCount
          return !this.#isCancelled
        },
        onWrite: () => {
          this.#isWritten = true
          this.#replaced = present
          closePresent(endpoint)
          this.#wakeWaiting()
        }
      }
    })
    this.#next = attempt
    attempt.exchange.wakeOnEvent(() => this.#endUnsent())
    if (!this.#isWritten && attempt.exchange.eventCount > 0) this.#endUnsent()
  }

  #endUnsent (): void {
    const { attempts, selection } = this.#request
    const attempt = this.#next
    if (attempt === undefined || this.#isWritten) return
    this.#next = undefined
    const event = attempt.exchange.poll()
    const end = this.#isCancelled ? AttemptEnd.Cancelled : attempts.endWithoutResponse(attempt, false)
    attempts.finishBroken(attempt, end, event?.type === 'failure' ? event.reason : 'not sent')
    attempts.close()
    if (end === AttemptEnd.Cancelled) selection.allowRetryAt(attempt.endpoint)
    this.#wakeWaiting()
  }
}
