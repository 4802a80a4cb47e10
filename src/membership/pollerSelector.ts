/**
 * Selects the daemons that poll an endpoint, by rendezvous hashing. A data centre has thousands of pairs
 * of daemon and endpoint, so each name is hashed once and a pair's score is mixed from the two hashes.
 */
import { hashFraction } from '../contract/index.ts'

const pollersPerEndpoint = 2
const hashRange = 2 ** 32

export class PollerSelector {
  readonly #hashes: ReadonlyMap<string, number>

  /** @param daemons the names of the data centre's daemons */
  constructor (daemons: readonly string[]) {
    this.#hashes = new Map(daemons.map(name => [name, hash32(name)]))
  }

  /** Whether a daemon is one of those that poll an endpoint. */
  isPoller (daemon: string, endpoint: string): boolean {
    const ownHash = this.#hashes.get(daemon)
    if (ownHash === undefined) return false
    const endpointHash = hash32(endpoint)
    const ownScore = mix(ownHash, endpointHash)
    let higherScores = 0
    for (const [name, hash] of this.#hashes) {
      const score = mix(hash, endpointHash)
      if (score > ownScore || (score === ownScore && name < daemon)) higherScores += 1
    }
    return higherScores < pollersPerEndpoint
  }
}

function hash32 (text: string): number {
  return Math.floor(hashFraction(text) * hashRange)
}

/** The finalizer of MurmurHash3 over the two hashes. */
function mix (left: number, right: number): number {
  let value = Math.imul(left, 0x9e3779b1) ^ right
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35)
  return (value ^ (value >>> 16)) >>> 0
}
