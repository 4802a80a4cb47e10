/** Why this process closes a connection of a caller. The cause is kept at the socket, until what was cut with it is reported. */
import type { Socket } from 'node:net'

export const CloseCause = {
  /** More connections were open than the process may have. */
  Connections: 'connections',
  /** Heads that were arriving took too much memory. */
  Heads: 'heads',
  /** Too many requests were sent ahead of their answers; the connection ends when those that it may send are answered. */
  RequestsAhead: 'requests_ahead',
  /** Nothing was requested within the idle time. */
  Idle: 'idle',
  /** A head was malformed, too large or late. */
  HeadRefused: 'head_refused',
  /** The rest of a request that was refused did not arrive in time. */
  BodyUnread: 'body_unread',
  /** A body did not arrive completely. */
  BodyBroken: 'body_broken',
  /** What an answer held that its caller did not read was needed for others. */
  Evicted: 'evicted',
  /** An answer that had begun could not be completed. */
  AnswerBroken: 'answer_broken',
  /** A request failed in this process. */
  Failure: 'failure',
  /** The planned stop ended. */
  Stop: 'stop',
  /** Its caller closed it or broke it off. */
  CallerLeft: 'caller_left',
  /** None was recorded: an answer had announced the end of its connection. */
  Announced: 'announced'
} as const
export type CloseCause = typeof CloseCause[keyof typeof CloseCause]

/** Kept at the socket itself: the launcher and the program that it loads each have a copy of this module. */
const causeKey = Symbol.for('lavenderdoor.closeCause')
const callerLeftKey = Symbol.for('lavenderdoor.callerLeft')
type SocketWithCause = Socket & { [causeKey]?: CloseCause, [callerLeftKey]?: true }

/**
 * Records why a connection is about to be closed; the first cause counts.
 *
 * @example
 * recordCloseCause(socket, CloseCause.Idle)
 * socket.destroy()
 */
export function recordCloseCause (socket: SocketWithCause, cause: CloseCause): void {
  socket[causeKey] ??= cause
}

/**
 * Records that the caller of a connection has ended its side or broken it off. A cause of this process goes before that.
 *
 * @example
 * socket.once('error', () => recordCallerLeft(socket))
 */
export function recordCallerLeft (socket: SocketWithCause): void {
  socket[callerLeftKey] = true
}

/**
 * The recorded cause.
 *
 * @example
 * socket.once('close', () => log.info('requests_cut', { cause: closeCauseOf(socket) }))
 */
export function closeCauseOf (socket: SocketWithCause): CloseCause {
  if (socket[causeKey] !== undefined) return socket[causeKey]
  return socket[callerLeftKey] === true ? CloseCause.CallerLeft : CloseCause.Announced
}
