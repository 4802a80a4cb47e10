/**
 * Finds the head of another response inside the body of a response. An endpoint that stops in the middle of a body and
 * then sends a whole response leaves the HTTP parser no way to see it: the second response fills the missing bytes.
 * A second head is told from a body that merely shows one by a header whose value identifies the attempt.
 */
const statusLineStart = 'HTTP/1.'
const firstByte = statusLineStart.charCodeAt(0)
const statusLinePattern = /^HTTP\/1\.[01] \d{3}(?: |$)/
const shortestStatusLine = 'HTTP/1.1 200'
const headerPattern = /^[^\s:]+:[ \t]*(.*?)[ \t]*$/
const lineEnd = '\r\n'
/** The HTTP parser takes no longer head. */
const maximumHeadBytes = 16 * 1024

/** What is known of the text that begins at a possible status line. */
const Finding = {
  /** It is no head, or that of another attempt's response. */
  Nothing: 'nothing',
  /** More bytes are needed. */
  Undecided: 'undecided',
  /** It is the head of a response of the attempt. */
  SecondHead: 'second_head'
} as const
type Finding = typeof Finding[keyof typeof Finding]

interface Judgement {
  readonly finding: Finding
  /** Offset of the line that decided. What begins before it would be decided by the same line. */
  readonly decidedAt: number
}

/**
 * @example
 * const scanner = new SecondHeadScanner('a-17')
 * if (scanner.push(bytes)) exchange.abort('two responses in one')
 */
export class SecondHeadScanner {
  readonly #mark: string
  /** Bytes from a possible status line on, as latin1 text. */
  #undecided = ''

  /** @param mark value of a header that is found in each response of the attempt */
  constructor (mark: string) {
    this.#mark = mark
  }

  /** Whether the bytes so far end in what may be a second head. */
  get isUndecided (): boolean {
    return this.#undecided !== ''
  }

  /** Adds bytes of the body; returns whether they complete what tells of a second head. */
  push (bytes: Buffer): boolean {
    if (!this.isUndecided && !mayBeginStatusLine(bytes)) return false
    const text = this.#undecided + bytes.toString('latin1')
    this.#undecided = ''
    for (let start = indexOfStatusLine(text, 0); start >= 0;) {
      const { finding, decidedAt } = this.#judge(text, start)
      if (finding === Finding.SecondHead) return true
      if (finding === Finding.Undecided && text.length - start <= maximumHeadBytes) {
        this.#undecided = text.slice(start)
        return false
      }
      const next = finding === Finding.Nothing ? decidedAt : text.length - maximumHeadBytes
      start = indexOfStatusLine(text, Math.max(start + 1, next))
    }
    return false
  }

  /**
   * Whether a body that ends here contains a second head, or ends inside what looks like one.
   *
   * @param bytesBehind what was received together with the end of the body, and follows it
   */
  end (bytesBehind: Buffer): boolean {
    if (!this.isUndecided) return false
    const body = this.#undecided
    const text = body + bytesBehind.subarray(0, maximumHeadBytes).toString('latin1')
    for (let start = 0; start >= 0 && start < body.length;) {
      const { finding, decidedAt } = this.#judge(text, start)
      const isInsideHead = finding === Finding.Undecided && body.includes(lineEnd, start)
      if (finding === Finding.SecondHead || isInsideHead) return true
      start = indexOfStatusLine(text, Math.max(start + 1, decidedAt))
    }
    return false
  }

  #judge (text: string, start: number): Judgement {
    const beginning = text.slice(start, start + shortestStatusLine.length)
    if (beginning.length === shortestStatusLine.length && !statusLinePattern.test(beginning)) return { finding: Finding.Nothing, decidedAt: start }
    let position = start
    for (let end = text.indexOf(lineEnd, position); end >= 0; end = text.indexOf(lineEnd, position)) {
      const finding = this.#judgeLine(text.slice(position, end), position === start)
      if (finding !== Finding.Undecided) return { finding, decidedAt: position }
      position = end + lineEnd.length
    }
    return { finding: Finding.Undecided, decidedAt: start }
  }

  #judgeLine (line: string, isFirst: boolean): Finding {
    if (isFirst) return statusLinePattern.test(line) ? Finding.Undecided : Finding.Nothing
    const [, value] = headerPattern.exec(line) ?? []
    if (value === undefined) return Finding.Nothing
    return value === this.#mark ? Finding.SecondHead : Finding.Undecided
  }
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
