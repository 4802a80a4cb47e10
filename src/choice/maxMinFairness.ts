/**
 * Weighted max-min fairness: the division in which nobody can be given more without taking from one
 * who has less for its share. It is found as one level for all, like water in vessels as wide as the
 * shares: whoever wants less than the level gives is satisfied, and the others use what is left.
 */

/** One who wants a part. */
export interface Claimant {
  /** Its share, relative to the others'. */
  readonly share: number
  /** What it would use. */
  readonly demand: number
}

/**
 * What each may use of an amount. One who wants less may still use as much as its share of the level
 * allows, so that a sudden need inside its share is never refused; what all use of it together, as
 * wanted, is at most the amount.
 *
 * @returns what each may use, in the order given
 * @example
 * fairAllowances([{ share: 1, wanted: 10 }, { share: 1, wanted: 90 }], 60) // [50, 50]
 */
export function fairAllowances (claimants: readonly Claimant[], amount: number): number[] {
  const level = fairLevel(claimants, amount)
  return claimants.map(claimant => claimant.share * level)
}

function fairLevel (claimants: readonly Claimant[], amount: number): number {
  const order = [...claimants].sort((left, right) => left.demand / left.share - right.demand / right.share)
  let remaining = amount
  let remainingShares = order.reduce((sum, claimant) => sum + claimant.share, 0)
  let highestLevel = 0
  for (const { share, demand: wanted } of order) {
    if (wanted / share > remaining / remainingShares) return remaining / remainingShares
    highestLevel = wanted / share
    remaining -= wanted
    remainingShares -= share
  }
  const totalShares = order.reduce((sum, claimant) => sum + claimant.share, 0)
  return highestLevel + remaining / Math.max(Number.EPSILON, totalShares)
}
