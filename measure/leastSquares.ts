/** Linear regression over measured points. */

/** The linear model `base + slopes · variables`. */
export interface Fit {
  readonly base: number
  readonly slopes: readonly number[]
  /** The largest absolute difference between a point and the model. */
  readonly residual: number
}

/**
 * Fits a linear model by least squares.
 *
 * @param points pairs of a point's variables and its value
 * @example
 * fit([[[2], 10], [[4], 20], [[6], 30]]) // base 0, slope 5
 */
export function fitLeastSquares (points: ReadonlyArray<readonly [readonly number[], number]>): Fit {
  const rows = points.map(([variables]) => [1, ...variables])
  const width = rows[0]?.length ?? 0
  const matrix = Array.from({ length: width }, (_, row) => [
    ...Array.from({ length: width }, (_, column) => sum(rows.map(values => valueAt(values, row) * valueAt(values, column)))),
    sum(points.map(([, value], index) => valueAt(rows[index] ?? [], row) * value))
  ])
  const solution = solve(matrix)
  const residuals = points.map(([, value], index) => Math.abs(value - sum((rows[index] ?? []).map((factor, column) => factor * valueAt(solution, column)))))
  return { base: valueAt(solution, 0), slopes: solution.slice(1), residual: Math.max(...residuals) }
}

/** Solves a linear system by Gauss-Jordan elimination with partial pivoting. */
function solve (matrix: number[][]): number[] {
  const size = matrix.length
  for (let column = 0; column < size; column++) {
    const rest = matrix.slice(column)
    const pivot = rest.reduce((best, row) => Math.abs(valueAt(row, column)) > Math.abs(valueAt(best, column)) ? row : best)
    matrix.splice(matrix.indexOf(pivot), 1)
    matrix.splice(column, 0, pivot)
    for (const row of matrix) {
      if (row === pivot) continue
      const factor = valueAt(row, column) / valueAt(pivot, column)
      row.forEach((value, index) => { row[index] = value - factor * valueAt(pivot, index) })
    }
  }
  return matrix.map((row, index) => valueAt(row, size) / valueAt(row, index))
}

function valueAt (values: readonly number[], index: number): number {
  return values[index] ?? 0
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
