/**
 * Affinity of prompt prefixes and sessions to endpoints, by weighted rendezvous hashing: all daemons
 * agree without communication. An endpoint that is added or removed moves only its own keys, and one
 * with twice the capacity owns twice the keys. Keys and names are hashed once and combined by a few
 * integer operations, because each decision scores every candidate.
 */

const nameHashes = new Map<string, number>()

/** Size at which the cache of name hashes is cleared; the cache only saves time. */
const maximumCachedNames = 4_096

function fnv1aHash (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  }
  return hash >>> 0
}

function cachedNameHash (name: string): number {
  const cached = nameHashes.get(name)
  if (cached !== undefined) return cached
  if (nameHashes.size >= maximumCachedNames) nameHashes.clear()
  const hash = fnv1aHash(name)
  nameHashes.set(name, hash)
  return hash
}

function mixHashes (left: number, right: number): number {
  let value = Math.imul(left ^ (right + 0x9e3779b9), 0x85ebca6b)
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35)
  value = Math.imul(value ^ (value >>> 16) ^ right, 0x27d4eb2f)
  return (value ^ (value >>> 15)) >>> 0
}

/** A hashed affinity key; the hash is the same in every process. */
export class AffinityKey {
  readonly #hash: number

  constructor (key: string) {
    this.#hash = fnv1aHash(key)
  }

  /**
   * Rendezvous score of an endpoint for the key; the endpoint with the highest score owns the key.
   *
   * @param weight the endpoint's capacity relative to others; positive
   * @example
   * const score = new AffinityKey(session).rendezvousScore('engine-3', 2)
   */
  rendezvousScore (endpoint: string, weight: number): number {
    const fraction = (mixHashes(this.#hash, cachedNameHash(endpoint)) + 1) / 0x100000002
    return -weight / Math.log(fraction)
  }
}
