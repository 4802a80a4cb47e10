/**
 * Exchanges rating digests between daemons, so that each daemon decides from all ratings. A digest
 * replaces the previous one of its origin, so losing or repeating one is harmless. The interval
 * between rounds grows with the number of peers and the digest's size, which bounds the bandwidth.
 */
import * as z from 'zod'
import type { VersionDigest } from '../choice/index.ts'
import type { Clock, Randomness } from '../contract/index.ts'
import type { Link, MessageType } from '../link/index.ts'
import { type Membership, MemberState, type MemberView } from '../membership/index.ts'

/** A policy that exports its learned state and merges that of other daemons. */
export interface DigestingPolicy {
  digest (origin: string, incarnation: number): VersionDigest
  mergeDigest (digest: VersionDigest): void
}

/** Validates only the outer structure; the policy validates and bounds the entries. */
const digestSchema = z.custom<VersionDigest>(value => digestFrameSchema.safeParse(value).success)
const digestFrameSchema = z.looseObject({
  origin: z.string(),
  incarnation: z.number(),
  sequence: z.number(),
  beliefs: z.array(z.looseObject({ kind: z.string(), version: z.string() })),
  ledgers: z.array(z.looseObject({ kind: z.string(), organisation: z.string() }))
})

/** Carries a daemon's digest; the reply is empty. */
export const ratingDigest: MessageType<VersionDigest, Record<string, never>> = {
  name: 'choice.rating-digest',
  body: digestSchema,
  reply: z.record(z.string(), z.never())
}

const minimumIntervalMilliseconds = 2_000
const maximumBytesPerSecond = 2_048
const estimatedBytesPerEntry = 80
const replyTimeoutMilliseconds = 2_000

export interface RatingExchangeDependencies {
  readonly policy: DigestingPolicy
  readonly link: Link
  readonly membership: Membership
  readonly clock: Clock
  readonly randomness: Randomness
}

/** Periodically sends this daemon's digest and merges received ones. */
export class RatingExchange {
  readonly #dependencies: RatingExchangeDependencies
  readonly #stopping = new AbortController()
  #running: Promise<void> | undefined

  constructor (dependencies: RatingExchangeDependencies) {
    this.#dependencies = dependencies
    dependencies.link.handle(ratingDigest, async digest => {
      dependencies.policy.mergeDigest(digest)
      return {}
    })
  }

  /** Starts sending digests. */
  start (): void {
    this.#running ??= this.#run()
  }

  /** Stops sending and waits for the current round. */
  async stop (): Promise<void> {
    this.#stopping.abort()
    await this.#running
  }

  async #run (): Promise<void> {
    const { clock, link, policy, randomness } = this.#dependencies
    while (!this.#stopping.signal.aborted) {
      const peers = this.#peers()
      const digest = policy.digest(link.self.name, link.self.incarnation)
      await Promise.all(peers.map(peer => link.request(peer, ratingDigest, digest, replyTimeoutMilliseconds)))
      const bytes = peers.length * estimatedBytesPerEntry * (digest.beliefs.length + digest.ledgers.length)
      const intervalMilliseconds = Math.max(minimumIntervalMilliseconds, bytes / maximumBytesPerSecond * 1_000)
      await clock.sleep(intervalMilliseconds * (0.75 + randomness.fraction() / 2), this.#stopping.signal)
    }
  }

  /** All daemons of this region and a random one of each other region, because bandwidth between regions is scarce. */
  #peers (): MemberView[] {
    const { link, membership, randomness } = this.#dependencies
    const others = membership.members().filter(member => member.name !== link.self.name && member.state === MemberState.Alive)
    const regionalPeers = others.filter(member => member.place.region === link.self.place.region)
    const regions = new Set(others.map(member => member.place.region))
    regions.delete(link.self.place.region)
    const remotePeers = [...regions].flatMap(region => {
      const members = others.filter(member => member.place.region === region)
      return members[randomness.integerBelow(members.length)] ?? []
    })
    return [...regionalPeers, ...remotePeers]
  }
}
