/**
 * Digests of quality data about model versions, exchanged between daemons, so that each daemon learns
 * from all ratings and an organisation's ledger covers all its requests. A digest contains only what
 * its origin observed itself, never data of peers, and replaces earlier digests of the same origin.
 * Digests may therefore be repeated, reordered or lost, and nothing is counted twice.
 */
import type { VersionName } from '../contract/index.ts'
import type { AbilityLikelihood } from './ratingBelief.ts'
import type { QualitySums } from './qualityLedger.ts'

/**
 * One daemon's ratings of a version on a kind of request, as a likelihood over the version's ability,
 * the difficulty up to which its answers are good. The receiver adds it to its own log-likelihood and a
 * prior to form its belief about the ability.
 */
export interface BeliefSummary extends AbilityLikelihood {
  readonly kind: string
  readonly version: VersionName
}

/** One daemon's quality sums for an organisation's requests of a kind. */
export interface LedgerSummary extends QualitySums {
  readonly organisation: string
  readonly kind: string
}

/** What one daemon has observed of all versions, kinds and organisations. */
export interface VersionDigest {
  /** The daemon's name. */
  readonly origin: string
  /** Time at which its process started, in milliseconds; a later process starts with empty counts. */
  readonly incarnation: number
  /** Grows with each digest of an incarnation. */
  readonly sequence: number
  /** Log-likelihood of the origin's ratings at each pair of slope and noise of the rating scale, in the order of `scalePoints`. */
  readonly scale: Float32Array
  readonly beliefs: readonly BeliefSummary[]
  readonly ledgers: readonly LedgerSummary[]
}

/** Largest number of beliefs, and likewise of ledgers, read from a digest; further ones are ignored. */
const maximumEntriesPerList = 2_000
/** Origins whose digests are stored. */
const maximumOrigins = 512

/** The newest digest of each other daemon. */
export class PeerDigests {
  readonly #newest = new Map<string, VersionDigest>()

  /** All stored digests, ordered by origin, so that rounding errors of sums over them don't depend on the order of arrival. */
  all (): readonly VersionDigest[] {
    return [...this.#newest.values()].sort((left, right) => left.origin < right.origin ? -1 : 1)
  }

  /**
   * Stores a digest that is newer than the stored one of its origin. If the store is full, digests of
   * new origins are refused; those of stored origins are still replaced.
   *
   * @returns whether it was stored
   */
  store (digest: VersionDigest): boolean {
    const stored = this.#newest.get(digest.origin)
    if (stored && !isNewer(digest, stored)) return false
    if (!stored && this.#newest.size >= maximumOrigins) return false
    const { beliefs, ledgers } = digest
    this.#newest.set(digest.origin, { ...digest, beliefs: beliefs.slice(0, maximumEntriesPerList), ledgers: ledgers.slice(0, maximumEntriesPerList) })
    return true
  }

  /** Removes the digest of a daemon that is permanently gone. */
  drop (origin: string): void {
    this.#newest.delete(origin)
  }
}

function isNewer (received: VersionDigest, stored: VersionDigest): boolean {
  if (received.incarnation !== stored.incarnation) return received.incarnation > stored.incarnation
  return received.sequence > stored.sequence
}
