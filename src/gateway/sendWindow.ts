/**
 * Until when one request may be sent to an endpoint although a planned stop has begun. It may be sent as long as it
 * is likely to be answered before the stop ends: at its own deadline, or after the time that runs of its route take.
 * It is asked at the moment of sending, before every attempt and by every wait.
 */
import type { RunDurations } from '../placement/index.ts'
import { type Route, isRepeatable } from '../routing/index.ts'
import type { PlannedStop } from './plannedStop.ts'

/** A stream that was to have ended is expected to go on for this share of its route's usual time. */
const minimumRemainingShare = 0.25

export interface SendWindowOptions {
  readonly plannedStop: PlannedStop
  readonly runDurations: RunDurations
  readonly route: Route
  /** When the request gets its final answer in any case, in milliseconds of the process's clock. */
  readonly deadline: number
  readonly now: () => number
}

/**
 * @example
 * const sendWindow = new SendWindow({ plannedStop, runDurations, route, deadline, now: () => clock.now() })
 * if (sendWindow.isClosed) refuse(ForwardRefusals.stopping)
 */
export class SendWindow {
  readonly #options: SendWindowOptions
  #streamingSince: number | undefined

  constructor (options: SendWindowOptions) {
    this.#options = options
  }

  /** When it closes, in milliseconds of the process's clock; infinite if no stop has begun. */
  get closesAt (): number {
    const { plannedStop, deadline } = this.#options
    if (deadline <= plannedStop.lastSendAt) return plannedStop.lastSendAt
    return plannedStop.lastSendAt - this.#expectedMilliseconds()
  }

  /** Whether the request would be cut by the end of the stop, if it were sent now. */
  get isClosed (): boolean {
    return this.#options.now() >= this.closesAt
  }

  /** A stream has begun with a run that was sent then. A further run only has to do the rest. */
  recordStreamStart (sentAt: number): void {
    this.#streamingSince ??= sentAt
  }

  /** Time that an attempt is expected to take; infinite if no run of the route was seen. */
  #expectedMilliseconds (): number {
    const { route, runDurations } = this.#options
    const now = this.#options.now()
    // Of a request that is cut and may run once only nobody knows whether it has run.
    const milliseconds = isRepeatable(route) ? runDurations.usualMilliseconds(route.name, now) : runDurations.longestMilliseconds(route.name, now)
    if (milliseconds === undefined) return Infinity
    if (this.#streamingSince === undefined) return milliseconds
    return Math.max(milliseconds * minimumRemainingShare, milliseconds - (now - this.#streamingSince))
  }
}
