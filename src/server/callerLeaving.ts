/**
 * How the caller at one connection leaves. The end of its sending (a half-close) can't be told from a close of the
 * whole connection until something is sent, so that it counts as leaving. But it may still read, so that each of its
 * whole requests is answered, if only by a refusal. Once the connection is closed, nothing reaches it any more.
 */
import type { Socket } from 'node:net'

/** Told of a caller that leaves. */
export interface LeavingListener {
  /** The caller sends nothing more. */
  readonly onEnd: () => void
  /** The connection is closed. */
  readonly onClose: () => void
}

/** Kept at the socket itself: the launcher and the program that it loads each have a copy of this module. */
const leavingKey = Symbol.for('lavenderdoor.callerLeaving')
type FollowedSocket = Socket & { [leavingKey]?: CallerLeaving }

/**
 * One for each connection, whose requests may be many.
 *
 * @example
 * const unfollow = CallerLeaving.of(request.socket).follow({ onEnd: () => giveUp(), onClose: () => giveUp() })
 */
export class CallerLeaving {
  readonly #socket: Socket
  readonly #listeners = new Set<LeavingListener>()

  private constructor (socket: Socket) {
    this.#socket = socket
    socket.once('end', () => this.#tell(({ onEnd }) => onEnd()))
    socket.once('close', () => {
      this.#tell(({ onClose }) => onClose())
      this.#listeners.clear()
    })
  }

  static of (socket: FollowedSocket): CallerLeaving {
    socket[leavingKey] ??= new CallerLeaving(socket)
    return socket[leavingKey]
  }

  /** Whether the caller sends nothing more. */
  get hasEnded (): boolean {
    return this.#socket.readableEnded || this.hasClosed
  }

  /** Whether the connection is closed. */
  get hasClosed (): boolean {
    return this.#socket.destroyed
  }

  /**
   * Follows the caller's leaving from now on.
   *
   * @returns a function that takes it back
   */
  follow (listener: LeavingListener): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  #tell (call: (listener: LeavingListener) => void): void {
    for (const listener of [...this.#listeners]) call(listener)
  }
}
