/**
 * The part that one gateway has of what all gateways may spend together in a window of time. The parts of all that
 * run never exceed the whole, although each knows the others only by its lists:
 *
 * - Lists are of use while most seeds answer, so that any two gateways with a part know each other.
 * - A gateway that has just reported has no part until all lists that lack it are out of use. It then waits for one
 *   more window, in which larger parts of the others, or that of its own predecessor, may still have been spent.
 * - One that is gone is listed for at least a window after it can have spent anything.
 */
import type { FleetDirectory } from './fleetDirectory.ts'
import { maximumListAgeMilliseconds, replyTimeoutMilliseconds, retentionMilliseconds } from './fleetTimes.ts'

export interface FleetShareOptions {
  readonly directory: Pick<FleetDirectory, 'contact' | 'members'>
  /** What is divided may be spent once in each window of this length. */
  readonly windowMilliseconds: number
}

/** The others list a gateway for the retention after its last report; it spends until its lists are too old. */
const maximumWindowMilliseconds = retentionMilliseconds - maximumListAgeMilliseconds

/**
 * @example
 * const share = new FleetShare({ directory, windowMilliseconds: 10_000 })
 * const allowed = wholeSlack * share.at(now)
 */
export class FleetShare {
  readonly #options: FleetShareOptions

  constructor (options: FleetShareOptions) {
    this.#options = options
  }

  /** This gateway's part, from 0 to 1. */
  at (now: number): number {
    const { directory: { contact, members }, windowMilliseconds } = this.#options
    if (windowMilliseconds > maximumWindowMilliseconds || !contact.isCurrent) return 0
    // A list was written up to a reply's time before it arrived.
    const isKnownToAll = now - contact.since > maximumListAgeMilliseconds + replyTimeoutMilliseconds + windowMilliseconds
    return isKnownToAll ? 1 / members.length : 0
  }
}
