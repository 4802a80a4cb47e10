/** JSON bodies that may be anything. */

/** Decodes a body; undefined where it is not JSON. */
export function parseJson (body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'))
  } catch {
    return undefined
  }
}
