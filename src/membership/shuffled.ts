/** Random order from a seeded source, so that runs are reproducible. */
import type { Randomness } from '../contract/index.ts'

/**
 * Returns the items in random order.
 *
 * @example
 * const [first] = shuffled(peers, randomness)
 */
export function shuffled<Item> (items: readonly Item[], randomness: Randomness): Item[] {
  const keyed = items.map(item => ({ item, key: randomness.fraction() }))
  return keyed.sort((left, right) => left.key - right.key).map(({ item }) => item)
}
