/** Straight lines through measured points. */

/** A plane through points: `base + slopes · variables`, and the largest miss. */
export interface Fit {
  readonly base: number
  readonly slopes: readonly number[]
  /** The largest distance of a point from the fit. */
  readonly residual: number
}

/**
 * Fits by least squares.
 *
 * @param points the variables of each point, and its value
 * @example
 * fit([[[2], 10], [[4], 20], [[6], 30]]) // base 0, slope 5
 */
export function fit (points: ReadonlyArray<readonly [readonly number[], number]>): Fit {
  const rows = points.map(([variables]) => [1, ...variables])
  const width = rows[0]?.length ?? 0
  const matrix = Array.from({ length: width }, (_, row) => [
    ...Array.from({ length: width }, (_, column) => sum(rows.map(values => at(values, row) * at(values, column)))),
    sum(points.map(([, value], index) => at(rows[index] ?? [], row) * value))
  ])
  const solution = solve(matrix)
  const misses = points.map(([, value], index) => Math.abs(value - sum((rows[index] ?? []).map((factor, column) => factor * at(solution, column)))))
  return { base: at(solution, 0), slopes: solution.slice(1), residual: Math.max(...misses) }
}

/** Gauss and Jordan, with the largest element of a column as pivot. */
function solve (matrix: number[][]): number[] {
  const size = matrix.length
  for (let column = 0; column < size; column++) {
    const rest = matrix.slice(column)
    const pivot = rest.reduce((best, row) => Math.abs(at(row, column)) > Math.abs(at(best, column)) ? row : best)
    matrix.splice(matrix.indexOf(pivot), 1)
    matrix.splice(column, 0, pivot)
    for (const row of matrix) {
      if (row === pivot) continue
      const factor = at(row, column) / at(pivot, column)
      row.forEach((value, index) => { row[index] = value - factor * at(pivot, index) })
    }
  }
  return matrix.map((row, index) => at(row, size) / at(row, index))
}

function at (values: readonly number[], index: number): number {
  return values[index] ?? 0
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
