/** Finds the line of a setting in a TOML text, for messages; the parser keeps no positions. */

const tableHeader = /^\s*\[\[?\s*([^\]]+?)\s*\]\]?/
const keyAtStart = /^\s*("[^"]*"|'[^']*'|[A-Za-z0-9_-]+(?:\s*\.\s*[A-Za-z0-9_-]+)*)\s*=/

/**
 * The line of a dotted path, or of the nearest part of it that the text names.
 *
 * @returns 1 for the first line; undefined where no part of the path is named
 * @example
 * lineOf('[models.small]\nprice = 1', ['models', 'small', 'price']) // 2
 */
export function lineOf (text: string, path: readonly string[]): number | undefined {
  const lines = namedLines(text)
  for (let length = path.length; length > 0; length--) {
    const line = lines.get(path.slice(0, length).join('.'))
    if (line !== undefined) return line
  }
  return undefined
}

function namedLines (text: string): Map<string, number> {
  const found = new Map<string, number>()
  let table = ''
  text.split('\n').forEach((line, index) => {
    const header = tableHeader.exec(line)
    const key = keyAtStart.exec(line)
    if (header?.[1] !== undefined) {
      table = normalised(header[1])
      if (!found.has(table)) found.set(table, index + 1)
    } else if (key?.[1] !== undefined) {
      const name = normalised(key[1])
      const full = table === '' ? name : `${table}.${name}`
      if (!found.has(full)) found.set(full, index + 1)
    }
  })
  return found
}

function normalised (name: string): string {
  return name.split('.').map(part => part.trim().replace(/^["']|["']$/g, '')).join('.')
}
