/** Prints data for a person or, with `--json`, for a program. */

/** A row of a table, by column. */
export type TableRow = Readonly<Record<string, string | number | boolean | undefined>>

/** Writes a line to standard output. */
export function printLine (text: string): void {
  process.stdout.write(`${text}\n`)
}

/** Writes a value as one JSON document. */
export function printJson (value: unknown): void {
  printLine(JSON.stringify(value, undefined, 2))
}

/**
 * Writes rows as a table with aligned columns.
 *
 * @example
 * printTable([{ team: 'fleet', revision: 3 }])
 */
export function printTable (rows: readonly TableRow[]): void {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  const lines = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? '')))]
  const widths = columns.map((_, index) => Math.max(...lines.map(line => (line[index] ?? '').length)))
  for (const line of lines) {
    printLine(line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd())
  }
}
