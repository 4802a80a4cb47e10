/** Line-based comparison of texts. */

/**
 * Lists the lines that differ, in order: `-` for removed and `+` for added lines.
 *
 * @example
 * lineDifference('a\nb', 'a\nc') // ['-b', '+c']
 */
export function lineDifference (before: string, after: string): string[] {
  const left = before.split('\n')
  const right = after.split('\n')
  const lengths = commonSubsequenceLengths(left, right)
  const lines: string[] = []
  let row = 0
  let column = 0
  while (row < left.length || column < right.length) {
    if (row < left.length && column < right.length && left[row] === right[column]) {
      row++
      column++
      continue
    }
    const isRemoval = column >= right.length || (row < left.length && lengthAt(lengths, row + 1, column) >= lengthAt(lengths, row, column + 1))
    lines.push(isRemoval ? `-${left[row++]}` : `+${right[column++]}`)
  }
  return lines
}

/** The lengths of the longest common subsequences of all pairs of suffixes of both texts. */
function commonSubsequenceLengths (left: readonly string[], right: readonly string[]): number[][] {
  const lengths = Array.from({ length: left.length + 1 }, () => new Array<number>(right.length + 1).fill(0))
  for (let row = left.length - 1; row >= 0; row--) {
    for (let column = right.length - 1; column >= 0; column--) {
      const longest = left[row] === right[column]
        ? lengthAt(lengths, row + 1, column + 1) + 1
        : Math.max(lengthAt(lengths, row + 1, column), lengthAt(lengths, row, column + 1))
      const rowLengths = lengths[row]
      if (rowLengths !== undefined) rowLengths[column] = longest
    }
  }
  return lengths
}

function lengthAt (lengths: readonly number[][], row: number, column: number): number {
  return lengths[row]?.[column] ?? 0
}
