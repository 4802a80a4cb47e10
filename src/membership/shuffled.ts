/** Random order, from the seed that repeats a run. */
import type { Randomness } from '../contract/index.ts'

/**
 * The items in random order.
 *
 * @example
 * const [first] = shuffled(peers, randomness)
 */
export function shuffled<Item> (items: readonly Item[], randomness: Randomness): Item[] {
  const keyed = items.map(item => ({ item, key: randomness.fraction() }))
  return keyed.sort((left, right) => left.key - right.key).map(({ item }) => item)
}
