/** Lazily created map entries. */

/**
 * Returns the entry for a key; creates and stores it if there is none.
 *
 * @example
 * const counts = getOrCreate(this.#services, service, () => new WindowCount())
 */
export function getOrCreate<Key, Value> (map: Map<Key, Value>, key: Key, create: () => Value): Value {
  const existing = map.get(key)
  if (existing !== undefined) return existing
  const created = create()
  map.set(key, created)
  return created
}
