/**
 * The account of the bytes that a process holds for callers: heads, bodies that are arriving or wait for their
 * answer, and answers that are not read. Callers are not trusted, so the sum is bounded, and a part of it can be
 * used by small requests alone: a crowd of large ones must not take what an ordinary request needs.
 *
 * When the account is full, bytes are taken from those that hold most without progress, and then from those that
 * hold much more than the one that asks. Otherwise the one that asks is refused. What a request holds that is
 * being worked on is never taken.
 */
import type { Clock } from '../contract/index.ts'

/** A holding that has not grown for this time makes no progress. */
const stallMilliseconds = 1_000
/** A holding up to this size may use the whole account. */
const ordinaryBytes = 64 * 1024
/** Share of the account that larger holdings can't use. */
const ordinaryShare = 0.25
/** A holding that is this many times as large as the one that asks gives way although it makes progress. */
const muchLargerFactor = 2

/** What one request holds. */
export interface Holding {
  readonly bytes: number
  /** Adds bytes if there is room, which may be made; a holding that is refused keeps what it has until it is released. */
  tryAdd (bytes: number): boolean
  /** Adds bytes that have arrived already, whether or not there is room. */
  add (bytes: number): void
  /** From now on the bytes are needed for work that has begun. */
  protect (): void
  /** Sets the bytes that the caller has yet to read; while there are any, the holding may be evicted. */
  setUnread (bytes: number): void
  /** Gives all bytes back; later calls have no effect. */
  release (): void
}

interface Entry {
  /** Without unread ones. */
  bytes: number
  unreadBytes: number
  progressAt: number
  isOpen: boolean
  readonly evict: () => void
}

export interface HeldBytesOptions {
  readonly maximumBytes: number
  readonly clock: Pick<Clock, 'now'>
  /** Called with the bytes of each holding that is evicted. */
  readonly onEviction?: (bytes: number) => void
}

/**
 * @example
 * const holding = heldBytes.open(() => refuse(request))
 * if (!holding.tryAdd(chunk.length)) refuse(request)
 * holding.release()
 */
export class HeldBytes {
  readonly #options: HeldBytesOptions
  readonly #evictable = new Set<Entry>()
  #totalBytes = 0

  constructor (options: HeldBytesOptions) {
    this.#options = options
  }

  /** Bytes held now. */
  get totalBytes (): number {
    return this.#totalBytes
  }

  get maximumBytes (): number {
    return this.#options.maximumBytes
  }

  /**
   * Begins a holding.
   *
   * @param evict called when its bytes are needed for others; they are given back already
   */
  open (evict: () => void): Holding {
    const entry: Entry = { bytes: 0, unreadBytes: 0, progressAt: this.#options.clock.now(), isOpen: true, evict }
    this.#evictable.add(entry)
    return {
      get bytes () { return sizeOf(entry) },
      tryAdd: bytes => entry.isOpen && this.#makeRoom(entry, bytes) && this.#grow(entry, bytes),
      add: bytes => {
        if (!entry.isOpen) return
        this.#makeRoom(entry, bytes)
        this.#grow(entry, bytes)
      },
      protect: () => { this.#evictable.delete(entry) },
      setUnread: bytes => this.#setUnread(entry, bytes),
      release: () => this.#release(entry)
    }
  }

  #grow (entry: Entry, bytes: number): true {
    entry.bytes += bytes
    entry.progressAt = this.#options.clock.now()
    this.#totalBytes += bytes
    return true
  }

  #setUnread (entry: Entry, bytes: number): void {
    if (!entry.isOpen) return
    this.#totalBytes += bytes - entry.unreadBytes
    entry.unreadBytes = bytes
    entry.progressAt = this.#options.clock.now()
    if (bytes > 0) this.#evictable.add(entry)
    else this.#evictable.delete(entry)
  }

  #release (entry: Entry): void {
    if (!entry.isOpen) return
    entry.isOpen = false
    this.#evictable.delete(entry)
    this.#totalBytes -= sizeOf(entry)
    entry.bytes = 0
    entry.unreadBytes = 0
  }

  /** Whether bytes fit, if need be after others were evicted. */
  #makeRoom (entry: Entry, bytes: number): boolean {
    const allowedBytes = this.#allowedFor(sizeOf(entry) + bytes)
    while (this.#totalBytes + bytes > allowedBytes) {
      const victim = this.#victimFor(entry, bytes)
      if (victim === undefined) return false
      const freedBytes = sizeOf(victim)
      this.#release(victim)
      this.#options.onEviction?.(freedBytes)
      victim.evict()
    }
    return true
  }

  #allowedFor (bytes: number): number {
    const { maximumBytes } = this.#options
    return bytes <= ordinaryBytes ? maximumBytes : maximumBytes * (1 - ordinaryShare)
  }

  /** The largest holding without progress, or else the largest of those that are much larger than the one that asks. */
  #victimFor (asking: Entry, bytes: number): Entry | undefined {
    const stalledBefore = this.#options.clock.now() - stallMilliseconds
    let [stalled, stalledSize]: [Entry | undefined, number] = [undefined, 0]
    let [largest, largestSize]: [Entry | undefined, number] = [undefined, 0]
    for (const entry of this.#evictable) {
      const size = sizeOf(entry)
      if (entry === asking || size === 0) continue
      if (size > largestSize) [largest, largestSize] = [entry, size]
      if (entry.progressAt <= stalledBefore && size > stalledSize) [stalled, stalledSize] = [entry, size]
    }
    if (stalled !== undefined) return stalled
    return largestSize > (sizeOf(asking) + bytes) * muchLargerFactor ? largest : undefined
  }
}

function sizeOf ({ bytes, unreadBytes }: Entry): number {
  return bytes + unreadBytes
}
