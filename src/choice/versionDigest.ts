/**
 * Digests of quality data exchanged between daemons, so that each daemon learns from all ratings and an
 * organisation's ledger covers all its requests. A digest contains only what its origin observed
 * itself, never data of peers, and replaces earlier digests of the same origin. Digests may therefore
 * be repeated, reordered or lost, and nothing is counted twice.
 */
import type { VersionName } from '../contract/index.ts'
import type { AbilityLikelihood } from './ratingBelief.ts'
import type { QualitySums } from './qualityLedger.ts'

/** One daemon's ratings of a version on a kind of request, as a likelihood over its ability. */
export interface BeliefSummary extends AbilityLikelihood {
  readonly kind: string
  readonly version: VersionName
}

/** One daemon's quality sums for an organisation's requests of a kind. */
export interface LedgerSummary extends QualitySums {
  readonly organisation: string
  readonly kind: string
}

/** Observations of one daemon. */
export interface VersionDigest {
  /** The daemon's name. */
  readonly origin: string
  /** Start of its process; a later process starts with empty counts. */
  readonly incarnation: number
  /** Grows with each digest of an incarnation. */
  readonly sequence: number
  /** Log-likelihood of each pair of slope and noise of the rating scale. */
  readonly scale: Float32Array
  readonly beliefs: readonly BeliefSummary[]
  readonly ledgers: readonly LedgerSummary[]
}

/** Beliefs and ledgers read from a digest; further entries are ignored. */
const maximumEntries = 2_000
/** Origins whose digests are stored. */
const maximumOrigins = 512

/** The newest digest of each other daemon. */
export class PeerDigests {
  readonly #newest = new Map<string, VersionDigest>()

  /** All stored digests, ordered by origin so that sums don't depend on the order of arrival. */
  all (): readonly VersionDigest[] {
    return [...this.#newest.values()].sort((left, right) => left.origin < right.origin ? -1 : 1)
  }

  /**
   * Stores a digest unless it is not newer than the stored one of its origin, or the store is full.
   *
   * @returns whether it was stored
   */
  store (digest: VersionDigest): boolean {
    const known = this.#newest.get(digest.origin)
    if (known && !isNewer(digest, known)) return false
    if (!known && this.#newest.size >= maximumOrigins) return false
    const { beliefs, ledgers } = digest
    this.#newest.set(digest.origin, { ...digest, beliefs: beliefs.slice(0, maximumEntries), ledgers: ledgers.slice(0, maximumEntries) })
    return true
  }

  /** Removes the digest of a daemon that is permanently gone. */
  drop (origin: string): void {
    this.#newest.delete(origin)
  }
}

function isNewer (left: VersionDigest, right: VersionDigest): boolean {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation
  return left.sequence > right.sequence
}
