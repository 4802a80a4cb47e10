/** Finds the line of a setting in a TOML text, for error messages; the TOML parser does not keep positions. */

const tableHeaderPattern = /^\s*\[\[?\s*([^\]]+?)\s*\]\]?/
const keyPattern = /^\s*("[^"]*"|'[^']*'|[A-Za-z0-9_-]+(?:\s*\.\s*[A-Za-z0-9_-]+)*)\s*=/

/**
 * The line of a path, or of its longest prefix that occurs in the text.
 *
 * @returns line number, from 1; undefined if no prefix of the path occurs
 * @example
 * lineOf('[models.small]\nprice = 1', ['models', 'small', 'price']) // 2
 */
export function lineOf (text: string, path: readonly string[]): number | undefined {
  const lines = linesByPath(text)
  for (let length = path.length; length > 0; length--) {
    const line = lines.get(path.slice(0, length).join('.'))
    if (line !== undefined) return line
  }
  return undefined
}

function linesByPath (text: string): Map<string, number> {
  const lineNumbers = new Map<string, number>()
  let table = ''
  text.split('\n').forEach((line, index) => {
    const header = tableHeaderPattern.exec(line)
    const key = keyPattern.exec(line)
    if (header?.[1] !== undefined) {
      table = normalisePath(header[1])
      if (!lineNumbers.has(table)) lineNumbers.set(table, index + 1)
    } else if (key?.[1] !== undefined) {
      const name = normalisePath(key[1])
      const path = table === '' ? name : `${table}.${name}`
      if (!lineNumbers.has(path)) lineNumbers.set(path, index + 1)
    }
  })
  return lineNumbers
}

function normalisePath (name: string): string {
  return name.split('.').map(part => part.trim().replace(/^["']|["']$/g, '')).join('.')
}
