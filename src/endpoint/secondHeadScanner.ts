/**
 * Finds the head of another response inside the body of a response. An endpoint that stops in the middle of a body and
 * then sends a whole response leaves the HTTP parser no way to see it: the second response fills the missing bytes.
 * A second head is told from a body that merely shows one by a header whose value identifies the attempt.
 */
const statusLineStart = 'HTTP/1.'
const firstByte = statusLineStart.charCodeAt(0)
const statusLinePattern = /HTTP\/1\.[01] \d{3}(?: |$)/
const shortestStatusLine = 'HTTP/1.1 200'
const headerNamePattern = /^[^\s:]+$/
const lineBreakPattern = /[\r\n]/
const lineEnd = '\r\n'
/** The HTTP parser takes no longer head. */
const maximumHeadBytes = 16 * 1024

/**
 * Reads each line once, whatever the body contains.
 *
 * @example
 * const scanner = new SecondHeadScanner('a-17')
 * if (scanner.push(bytes)) exchange.abort('two responses in one')
 */
export class SecondHeadScanner {
  readonly #mark: string
  /** The start of a header or of a possible status line, whose line has not ended, as latin1 text. */
  #rest = ''
  /** Length of the whole lines since the last status line, if headers have followed it so far. */
  #headBytes: number | undefined

  /** @param mark value of a header that is found in each response of the attempt */
  constructor (mark: string) {
    this.#mark = mark
  }

  /** Whether the bytes so far end in what may be a second head. */
  get isUndecided (): boolean {
    return this.#isInHead || this.#rest !== ''
  }

  /** Adds bytes of the body; returns whether they complete what tells of a second head. */
  push (bytes: Buffer): boolean {
    if (!this.isUndecided && !mayBeginStatusLine(bytes)) return false
    const text = this.#rest + bytes.toString('latin1')
    for (let start = 0; ;) {
      if (!this.#isInHead) start = indexOfStatusLine(text, start)
      const end = start < 0 ? -1 : text.indexOf(lineEnd, start)
      if (end < 0) {
        this.#keep(start < 0 ? '' : text.slice(start))
        return false
      }
      if (this.#takeLine(text.slice(start, end), Infinity)) return true
      start = end + lineEnd.length
    }
  }

  /**
   * Whether a body that ends here contains a second head, or ends inside what looks like one.
   *
   * @param bytesBehind what was received together with the end of the body, and follows it
   */
  end (bytesBehind: Buffer): boolean {
    if (!this.isUndecided) return false
    const rest = this.#rest
    const lines = (rest + bytesBehind.subarray(0, maximumHeadBytes).toString('latin1')).split(lineEnd).slice(0, -1)
    const isInsideHead = this.#isInHead && lines.every(line => headerValue(line) !== undefined)
    return isInsideHead || lines.some((line, index) => this.#takeLine(line, index === 0 ? rest.length : 0))
  }

  get #isInHead (): boolean {
    return this.#headBytes !== undefined
  }

  /**
   * Takes a whole line; returns whether it is the header that tells of a second head.
   *
   * @param statusLineBound offset in the line before which a status line begins, if it is to count
   */
  #takeLine (line: string, statusLineBound: number): boolean {
    const value = this.#isInHead ? headerValue(line) : undefined
    if (value === this.#mark) return true
    this.#headBytes = value === undefined ? undefined : this.#headBytes! + line.length + lineEnd.length
    const statusLineOffset = line.search(statusLinePattern)
    if (statusLineOffset >= 0 && statusLineOffset < statusLineBound) this.#headBytes = line.length - statusLineOffset
    return false
  }

  /** Keeps the start of a line for the bytes that follow, if it may be that of a header or of a status line. */
  #keep (text: string): void {
    if (this.#isInHead && this.#headBytes! + text.length > maximumHeadBytes) this.#headBytes = undefined
    this.#rest = this.#isInHead ? text : fromStatusLine(text)
  }
}

/** The value of a line that is a header; undefined if it is none. */
function headerValue (line: string): string | undefined {
  const nameEnd = line.indexOf(':')
  const isHeader = headerNamePattern.test(line.slice(0, Math.max(0, nameEnd))) && !lineBreakPattern.test(line)
  return isHeader ? line.slice(nameEnd + 1).trim() : undefined
}

/** What may be a status line without an end, of a line that has not ended; empty if there is none. */
function fromStatusLine (text: string): string {
  for (let start = indexOfStatusLine(text, Math.max(0, text.length - maximumHeadBytes)); start >= 0; start = indexOfStatusLine(text, start + 1)) {
    const begin = text.slice(start, start + shortestStatusLine.length)
    if (begin.length < shortestStatusLine.length || statusLinePattern.test(begin)) return text.slice(start)
  }
  return ''
}

/** Whether bytes contain the start of a status line, or may end in one. */
function mayBeginStatusLine (bytes: Buffer): boolean {
  const tailStart = Math.max(0, bytes.length - statusLineStart.length)
  return bytes.indexOf(firstByte, tailStart) >= 0 || bytes.includes(statusLineStart, 0, 'latin1')
}

/** Offset of the next start of a status line, or of what may be one at the end of the text; -1 if there is none. */
function indexOfStatusLine (text: string, from: number): number {
  const whole = text.indexOf(statusLineStart, from)
  if (whole >= 0) return whole
  for (let start = Math.max(from, text.length - statusLineStart.length + 1); start < text.length; start++) {
    if (statusLineStart.startsWith(text.slice(start))) return start
  }
  return -1
}
