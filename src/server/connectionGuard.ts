/**
 * Bounds what callers' connections take before a request has been read: their number, and the memory of heads that
 * are arriving. A head of many short fields takes many times its bytes while it is parsed.
 *
 * A connection gives way to others when it has no request that was read to its end, the one that was idle longest
 * first; those that hold most go first where memory is short. One with such a request has it answered before it ends.
 */
import type { CallerConnection } from './callerConnection.ts'
import { CloseCause, recordCloseCause } from './closeCause.ts'

/** Memory of a head that is arriving, as a multiple of its bytes, when its fields are as short as possible. */
const headMemoryFactor = 12
const checkIntervalMilliseconds = 100
/** Fewer connections can't hold much. */
const minimumCheckedConnections = 32

export interface ConnectionGuardOptions {
  readonly connections: () => readonly CallerConnection[]
  readonly maximumConnections: number
  /** Memory that heads may take while they arrive. */
  readonly maximumHeadBytes: number
  /** Called for each connection that is closed. */
  readonly onClose: (cause: CloseCause) => void
}

/**
 * @example
 * const guard = new ConnectionGuard({ connections: () => listener.connections, maximumConnections: 2_000, maximumHeadBytes: 20_000_000, onClose })
 * server.on('connection', () => guard.admit())
 */
export class ConnectionGuard {
  readonly #options: ConnectionGuardOptions
  #timer: NodeJS.Timeout | undefined

  constructor (options: ConnectionGuardOptions) {
    this.#options = options
  }

  /** To be called when a connection has been added. */
  admit (): void {
    const connections = this.#options.connections()
    if (connections.length > this.#options.maximumConnections) this.#closeLongestIdle(connections)
    if (connections.length >= minimumCheckedConnections) this.#timer ??= setInterval(() => this.check(), checkIntervalMilliseconds).unref()
  }

  /** Closes the largest heads while all that are arriving take too much memory. */
  check (): void {
    const connections = this.#options.connections()
    if (connections.length < minimumCheckedConnections) this.stop()
    const arriving = connections.filter(({ unfinishedHeadBytes }) => unfinishedHeadBytes > 0).sort((left, right) => right.unfinishedHeadBytes - left.unfinishedHeadBytes)
    let memoryBytes = arriving.reduce((sum, { unfinishedHeadBytes }) => sum + unfinishedHeadBytes, 0) * headMemoryFactor
    for (const connection of arriving) {
      if (memoryBytes <= this.#options.maximumHeadBytes) return
      memoryBytes -= connection.unfinishedHeadBytes * headMemoryFactor
      if (!connection.isAnswering) this.#close(connection, CloseCause.Heads)
      else this.#endAfterAnswers(connection)
    }
  }

  stop (): void {
    clearInterval(this.#timer)
    this.#timer = undefined
  }

  /** If every connection has a request that is worked on, the newest one gives way. */
  #closeLongestIdle (connections: readonly CallerConnection[]): void {
    const idle = connections.filter(({ isAnswering }) => !isAnswering)
    const longestIdle = idle.reduce<CallerConnection | undefined>((first, connection) => first === undefined || connection.lastActiveAt < first.lastActiveAt ? connection : first, undefined)
    const closed = longestIdle ?? connections.at(-1)
    if (closed !== undefined) this.#close(closed, CloseCause.Connections)
  }

  /** What has arrived of the head is forgotten. */
  #endAfterAnswers (connection: CallerConnection): void {
    connection.endAfterAnswers()
    this.#options.onClose(CloseCause.Heads)
  }

  #close (connection: CallerConnection, cause: CloseCause): void {
    recordCloseCause(connection.socket, cause)
    connection.socket.destroy()
    this.#options.onClose(cause)
  }
}
