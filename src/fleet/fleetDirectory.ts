/**
 * The gateways that may be running, as one gateway knows them. Gateways report to the seeds in their settings
 * from time to time, and each seed lists those that reported to it lately.
 *
 * The list may contain gateways that are gone, but should lack none that runs: what is divided among the
 * members must not be given out twice. A member is therefore kept for some time after it was last listed, and
 * nobody is dropped while no seed answers, for a cut that hides others from this gateway need not hide them
 * from what they share.
 */
import { createHash } from 'node:crypto'
import type { Fleet, FleetMember } from '../rateLimit/index.ts'
import { retentionMilliseconds } from './fleetTimes.ts'
import { SeedContact } from './seedContact.ts'

/** Without any answer, a gateway takes the seeds and itself for the whole fleet after this time. */
const settlingMilliseconds = 5_000

interface ListedMember {
  readonly member: FleetMember
  readonly listedAt: number
}

export interface FleetDirectoryOptions {
  readonly self: FleetMember
  /** Addresses of the seeds in the settings. */
  readonly seeds: () => readonly string[]
  readonly startedAt: number
  readonly now: () => number
}

/**
 * @example
 * directory.recordReport({ address: '10.1.0.4:8229', region: 'coast' }, now)
 * const { members } = directory
 */
export class FleetDirectory implements Fleet {
  /** With the seeds that sent lists. */
  readonly contact: SeedContact
  readonly #options: FleetDirectoryOptions
  /** Gateways that reported to this one. */
  readonly #reports = new Map<string, ListedMember>()
  readonly #listed = new Map<string, ListedMember>()
  readonly #listsBySeed = new Map<string, readonly FleetMember[]>()
  #lastListAt: number | undefined
  #members: readonly FleetMember[]

  constructor (options: FleetDirectoryOptions) {
    this.#options = options
    this.contact = new SeedContact({ ...options, address: options.self.address })
    this.#members = [options.self]
    this.#updateMembers()
  }

  get self (): FleetMember {
    return this.#options.self
  }

  get members (): readonly FleetMember[] {
    return this.#members
  }

  /** The region of a gateway; undefined while it is not known. */
  regionOf (address: string): string | undefined {
    return this.#members.find(member => member.address === address)?.region
  }

  get isSettled (): boolean {
    const { now, startedAt } = this.#options
    return this.#lastListAt !== undefined || this.#otherSeeds.length === 0 || now() - startedAt >= settlingMilliseconds
  }

  /** Records that a gateway has reported to this one, which is its seed. */
  recordReport (member: FleetMember, now: number): void {
    this.#reports.set(member.address, { member, listedAt: now })
    this.#list(member, now)
    this.#updateMembers()
  }

  /** The gateways that reported to this one lately, with this one. */
  reportedMembers (now: number): readonly FleetMember[] {
    for (const [address, { listedAt }] of this.#reports) if (now - listedAt > retentionMilliseconds) this.#reports.delete(address)
    return [this.self, ...[...this.#reports.values()].map(({ member }) => member)]
  }

  /** The last list of a seed; empty if it has sent none. */
  listOf (seed: string): readonly FleetMember[] {
    return this.#listsBySeed.get(seed) ?? []
  }

  /**
   * Records the list of a seed; an unchanged list confirms its members.
   *
   * @param askedAt when the seed was asked: the list may have been written then, however late it is read
   */
  recordList (seed: string, members: readonly FleetMember[], now: number, askedAt: number): void {
    this.#listsBySeed.set(seed, members)
    for (const member of members) this.#list(member, now)
    this.#lastListAt = now
    this.contact.record(seed, now, askedAt)
    this.#forgetUnlisted(now)
    this.#updateMembers()
  }

  #list (member: FleetMember, now: number): void {
    if (member.address !== this.self.address) this.#listed.set(member.address, { member, listedAt: now })
  }

  #forgetUnlisted (now: number): void {
    for (const [address, { listedAt }] of this.#listed) if (now - listedAt > retentionMilliseconds) this.#listed.delete(address)
  }

  /** Keeps the array while the members are the same. */
  #updateMembers (): void {
    const listed = [...this.#listed.values()].map(({ member }) => member)
    const seeds = this.#lastListAt === undefined ? this.#otherSeeds.filter(address => !this.#listed.has(address)).map(address => ({ address, region: undefined })) : []
    const members = [this.self, ...listed, ...seeds]
    if (membersDigest(members) !== membersDigest(this.#members)) this.#members = members
  }

  get #otherSeeds (): readonly string[] {
    return this.#options.seeds().filter(address => address !== this.self.address)
  }
}

/**
 * A digest of a list of gateways, whatever its order.
 *
 * @example
 * const isUnchanged = membersDigest(received) === membersDigest(known)
 */
export function membersDigest (members: readonly FleetMember[]): string {
  const lines = members.map(({ address, region }) => `${address} ${region ?? ''}`).sort()
  return createHash('sha1').update(lines.join('\n')).digest('base64')
}
