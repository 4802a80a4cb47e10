/** Collections bounded by dropping their oldest entries. */

/**
 * Deletes the entries that were inserted first, until a map or set has at most `maximumSize` entries.
 *
 * @example
 * this.#peers.set(peer.address, peer)
 * dropOldest(this.#peers, maximumPeers)
 */
export function dropOldest<Key> (entries: Map<Key, unknown> | Set<Key>, maximumSize: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= maximumSize) return
    entries.delete(key)
  }
}
