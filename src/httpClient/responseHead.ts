/**
 * Checks that a response head is a single one. An endpoint that stops inside a header's value, or inside the reason
 * phrase, and then sends a whole response leaves the parser no way to see where the second head begins: its status
 * line becomes part of that text, and its headers are added to those of the first.
 */
const statusLinePattern = /HTTP\/1\.[01] \d{3}/

/** A value of the HTTP library's parsed headers, or a name or value of its raw ones. */
export type HeaderText = Buffer | string | readonly string[] | undefined

/**
 * Throws if a status line is found inside a head, which then consists of two.
 *
 * @example
 * assertSingleHead(statusMessage, Object.values(headers))
 */
export function assertSingleHead (reasonPhrase: string | undefined, texts: readonly HeaderText[]): void {
  const isSingle = !statusLinePattern.test(reasonPhrase ?? '') && !texts.some(containsStatusLine)
  if (!isSingle) throw new Error('the head of a response contains that of another one')
}

function containsStatusLine (text: HeaderText): boolean {
  return statusLinePattern.test(Buffer.isBuffer(text) ? text.toString('latin1') : String(text))
}
