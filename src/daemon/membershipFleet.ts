/**
 * The daemons that share the limits of endpoints, from membership. A daemon is kept for some time after
 * membership has dropped it: one that is cut off from this daemon may still reach the endpoints.
 */
import type { Clock } from '../contract/index.ts'
import { membersDigest } from '../fleet/index.ts'
import type { Membership } from '../membership/index.ts'
import type { Fleet, FleetMember } from '../rateLimit/index.ts'

const retentionMilliseconds = 60_000
/** Membership is read at most this often. */
const refreshMilliseconds = 1_000
/** A daemon that finds no other within this time is alone. */
const settlingMilliseconds = 5_000

interface KnownMember {
  readonly member: FleetMember
  readonly seenAt: number
}

/**
 * @example
 * const limits = new EndpointLimits({ announced, fleet: new MembershipFleet(self, membership, clock), regionsServing })
 */
export class MembershipFleet implements Fleet {
  readonly self: FleetMember
  readonly #membership: Pick<Membership, 'members'>
  readonly #clock: Clock
  readonly #startedAt: number
  readonly #known = new Map<string, KnownMember>()
  #members: readonly FleetMember[]
  #readAt = Number.NEGATIVE_INFINITY

  constructor (self: FleetMember, membership: Pick<Membership, 'members'>, clock: Clock) {
    this.self = self
    this.#membership = membership
    this.#clock = clock
    this.#startedAt = clock.now()
    this.#members = [self]
  }

  get members (): readonly FleetMember[] {
    const now = this.#clock.now()
    if (now - this.#readAt >= refreshMilliseconds) this.#refresh(now)
    return this.#members
  }

  get isSettled (): boolean {
    return this.members.length > 1 || this.#clock.now() - this.#startedAt >= settlingMilliseconds
  }

  #refresh (now: number): void {
    this.#readAt = now
    for (const { address, place } of this.#membership.members()) this.#known.set(address, { member: { address, region: place.region }, seenAt: now })
    this.#known.delete(this.self.address)
    for (const [address, { seenAt }] of this.#known) if (now - seenAt > retentionMilliseconds) this.#known.delete(address)
    const members = [this.self, ...[...this.#known.values()].map(({ member }) => member)]
    if (membersDigest(members) !== membersDigest(this.#members)) this.#members = members
  }
}
