/**
 * Weighted max-min fairness: a division in which no claimant can get more without taking from one
 * that has less in proportion to its share. It is computed by water-filling, as one level of work per
 * unit of share: claimants that want less than the level gives are satisfied, the others divide the rest.
 */

export interface Claimant {
  /** Share, relative to the shares of the other claimants. */
  readonly share: number
  /** Amount that the claimant would use. */
  readonly demand: number
}

/**
 * Divides an amount between claimants. A claimant that wants less still gets its share of the level,
 * so that a sudden rise of its demand within its share is never refused. The allowances may add up to
 * more than the amount, but what the claimants use of them at the given demands does not exceed it.
 *
 * @returns the allowances, in the order of the claimants
 * @example
 * fairAllowances([{ share: 1, demand: 10 }, { share: 1, demand: 90 }], 60) // [50, 50]
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
