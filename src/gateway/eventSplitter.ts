/**
 * Cuts a stream of server-sent events at their ends. Only whole events are let through: an endpoint
 * may stop in the middle of one, and the rest of another run must not be joined to it.
 */

const lineFeed = 0x0a
const carriageReturn = 0x0d
const idField = 'id:'

/** Whole events that came together. */
export interface CompleteEvents {
  readonly bytes: Buffer
  /** The identity of the last of them that has one. */
  readonly lastEventId: string | undefined
}

/**
 * Collects bytes and gives out whole events.
 *
 * @example
 * const events = splitter.push(bytes)
 * if (events !== undefined) response.write(events.bytes)
 */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0)

  /** Bytes of an event that is not whole yet. */
  get pendingBytes (): number {
    return this.#pending.length
  }

  /** Takes bytes in; undefined while no event is whole. */
  push (bytes: Buffer): CompleteEvents | undefined {
    const received = this.#pending.length === 0 ? bytes : Buffer.concat([this.#pending, bytes])
    const end = endOfLastCompleteEvent(received)
    this.#pending = received.subarray(end)
    if (end === 0) return undefined
    const complete = received.subarray(0, end)
    return { bytes: complete, lastEventId: lastEventIdIn(complete) }
  }
}

/** The offset after the last blank line; 0 where there is none. */
function endOfLastCompleteEvent (bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== lineFeed) continue
    const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1
    if (before >= 0 && bytes[before] === lineFeed) return index + 1
  }
  return 0
}

function lastEventIdIn (bytes: Buffer): string | undefined {
  const lines = bytes.toString('latin1').split(/\r?\n/)
  return lines.findLast(line => line.startsWith(idField))?.slice(idField.length).trim()
}
