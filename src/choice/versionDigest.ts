/**
 * What daemons tell each other of quality, so that each learns from all ratings and an
 * organisation's account covers all its requests. A digest carries what one daemon itself has seen,
 * never what it heard; a later one of the same origin replaces an earlier one. So digests may be
 * repeated, reordered and lost, and nothing is counted twice.
 */
import type { VersionName } from '../contract/index.ts'
import type { AbilityLikelihood } from './ratingBelief.ts'
import type { QualitySums } from './qualityLedger.ts'

/** One daemon's ratings of a version on a kind of request, as a likelihood over its limit. */
export interface BeliefSummary extends AbilityLikelihood {
  readonly kind: string
  readonly version: VersionName
}

/** One daemon's account of an organisation's requests of a kind. */
export interface LedgerSummary extends QualitySums {
  readonly organisation: string
  readonly kind: string
}

/** What one daemon has seen itself. */
export interface VersionDigest {
  /** The daemon's name. */
  readonly origin: string
  /** Its process's start; a later process starts counting anew. */
  readonly incarnation: number
  /** Grows with each digest of an incarnation. */
  readonly sequence: number
  /** The logarithm of the likelihood of each slope and noise of ratings. */
  readonly scale: Float32Array
  readonly beliefs: readonly BeliefSummary[]
  readonly ledgers: readonly LedgerSummary[]
}

/** Entries of a digest that are read; the rest is left out. */
const maximumEntries = 2_000
/** Daemons whose digests are kept. */
const maximumOrigins = 512

/** The newest digest of each other daemon. */
export class PeerDigests {
  readonly #newest = new Map<string, VersionDigest>()

  /** All that is kept, in the order of origins, so that sums don't depend on the order of arrival. */
  all (): readonly VersionDigest[] {
    return [...this.#newest.values()].sort((left, right) => left.origin < right.origin ? -1 : 1)
  }

  /**
   * Keeps a digest unless a newer one of its origin is known.
   *
   * @returns whether it was kept
   */
  store (digest: VersionDigest): boolean {
    const known = this.#newest.get(digest.origin)
    if (known && !isNewer(digest, known)) return false
    if (!known && this.#newest.size >= maximumOrigins) return false
    const { beliefs, ledgers } = digest
    this.#newest.set(digest.origin, { ...digest, beliefs: beliefs.slice(0, maximumEntries), ledgers: ledgers.slice(0, maximumEntries) })
    return true
  }

  /** Drops what a daemon told that is gone for good. */
  drop (origin: string): void {
    this.#newest.delete(origin)
  }
}

function isNewer (left: VersionDigest, right: VersionDigest): boolean {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation
  return left.sequence > right.sequence
}
