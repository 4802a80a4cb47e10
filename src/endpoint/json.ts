/** Parsing of untrusted JSON bodies. */

/** Returns undefined if the body is not JSON. */
export function parseJson (body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'))
  } catch {
    return undefined
  }
}
