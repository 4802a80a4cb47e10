/**
 * Collects the pieces in which a body arrives. A body may come in pieces of single bytes, and a buffer for each
 * would take a hundred times the memory of its byte; small pieces after the first are therefore copied together.
 */

/** Pieces from this size on are kept as they are. */
const minimumKeptBytes = 4 * 1024
const blockBytes = 16 * 1024

/**
 * @example
 * const collector = new ByteCollector()
 * collector.push(chunk)
 * const body = collector.take()
 */
export class ByteCollector {
  #pieces: Buffer[] = []
  #block = Buffer.alloc(0)
  #blockLength = 0
  #length = 0

  /** Bytes collected so far. */
  get length (): number {
    return this.#length
  }

  push (piece: Buffer): void {
    const isFirst = this.#length === 0
    this.#length += piece.length
    if (isFirst || piece.length >= minimumKeptBytes) {
      this.#closeBlock()
      this.#pieces.push(piece)
      return
    }
    if (this.#blockLength + piece.length > this.#block.length) this.#openBlock()
    piece.copy(this.#block, this.#blockLength)
    this.#blockLength += piece.length
  }

  /** Returns all bytes and forgets them. */
  take (): Buffer {
    this.#closeBlock()
    const pieces = this.#pieces
    this.clear()
    return pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces)
  }

  /** Forgets all bytes. */
  clear (): void {
    this.#pieces = []
    this.#block = Buffer.alloc(0)
    this.#blockLength = 0
    this.#length = 0
  }

  #openBlock (): void {
    this.#closeBlock()
    this.#block = Buffer.allocUnsafeSlow(blockBytes)
  }

  #closeBlock (): void {
    if (this.#blockLength > 0) this.#pieces.push(this.#block.subarray(0, this.#blockLength))
    this.#block = Buffer.alloc(0)
    this.#blockLength = 0
  }
}
