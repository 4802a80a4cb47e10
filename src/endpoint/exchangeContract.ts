/** What an exchange is started with, and the events that it delivers. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Clock } from '../contract/index.ts'

/** Events of an exchange: a head, any number of data events, then an end; or a failure at any point. */
export type ExchangeEvent =
  | { readonly type: 'head', readonly status: number, readonly headers: IncomingHttpHeaders }
  | { readonly type: 'data', readonly bytes: Buffer }
  | { readonly type: 'end' }
  | { readonly type: 'failure', readonly reason: string, readonly timedOut: boolean }

/** The head of a response. */
export type ResponseHeadEvent = Extract<ExchangeEvent, { type: 'head' }>

export interface ExchangeOptions {
  readonly clock: Clock
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>> | ReadonlyMap<string, string>
  readonly body: Uint8Array | string | undefined
  /** The exchange fails after this many milliseconds without a received byte. */
  readonly inactivityTimeoutMilliseconds: number
  /** When the exchange fails as overdue, in milliseconds of the process's clock, unless what had arrived by then completes it; never by default. */
  readonly deadline?: number
  /** Checked in the event-loop turn that writes the request; false prevents the write. */
  readonly mayStillSend: () => boolean
  /** Closes the connection after the exchange; false by default. */
  readonly closesConnection?: boolean
  /** Whether a connection is failing in this event-loop turn; an end received then counts as a failure. */
  readonly isConnectionFailing?: () => boolean
  /** Value of a header that identifies the responses of this attempt; undefined if none does. */
  readonly responseMark?: string | undefined
  /** What was received in one read with the given bytes of a response, and follows them. */
  readonly bytesBehind?: (bytes: Buffer) => Buffer
}

/** Why an exchange fails that has reached its deadline. */
export const overdueReason = 'the deadline of the request has passed'

/** Whether an event tells that its exchange has reached its deadline. */
export function isOverdue (event: ExchangeEvent): boolean {
  return event.type === 'failure' && event.reason === overdueReason
}
