/** Entries that are made when they are first asked for. */

/**
 * The entry of a key, made and kept where there is none.
 *
 * @example
 * const counts = knownOrMade(this.#services, service, () => new WindowCount())
 */
export function knownOrMade<Key, Value> (all: Map<Key, Value>, key: Key, make: () => Value): Value {
  const known = all.get(key)
  if (known !== undefined) return known
  const made = make()
  all.set(key, made)
  return made
}
