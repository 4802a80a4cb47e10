/** Formats output for people or, with `--json`, for programs. */

/** Cells of a table row by column name. */
export type TableRow = Readonly<Record<string, string | number | boolean | undefined>>

/** Writes a line to standard output. */
export function printLine (text: string): void {
  process.stdout.write(`${text}\n`)
}

/** Writes a value to standard output as one indented JSON document. */
export function printJson (value: unknown): void {
  printLine(JSON.stringify(value, undefined, 2))
}

/**
 * Writes rows to standard output as a table with aligned columns.
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
