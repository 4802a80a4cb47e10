/**
 * Which endpoint a prompt prefix or a session belongs to, agreed on by all daemons without talking:
 * weighted rendezvous hashing. An endpoint that comes or goes moves only its own keys, and one that
 * can do twice the work owns twice the keys. Both sides are hashed once and mixed by a few integer
 * operations, because a decision looks at every candidate.
 */

const nameHashes = new Map<string, number>()

/** Names remembered before the table is emptied; it only saves time. */
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

/** The hash of a key, the same in every process. */
export class AffinityKey {
  readonly #hash: number

  constructor (key: string) {
    this.#hash = fnv1aHash(key)
  }

  /**
   * How strongly the key belongs to an endpoint: the one with the greatest claim owns it.
   *
   * @param weight the endpoint's capacity relative to others; positive
   * @example
   * const claim = new AffinityKey(session).rendezvousScore('engine-3', 2)
   */
  rendezvousScore (endpoint: string, weight: number): number {
    const fraction = (mixHashes(this.#hash, cachedNameHash(endpoint)) + 1) / 0x100000002
    return -weight / Math.log(fraction)
  }
}
