/** What a faulty endpoint sends without end. */
import { type Flood, headerIn } from './floodServer.ts'
import { formatEvent } from './forwarderWorld.ts'
import { httpChunk } from './scriptedServer.ts'

const ownHeaders = (request: string) => `attempt-id: ${headerIn(request, 'attempt-id')}\r\nx-attempt-id: ${headerIn(request, 'x-attempt-id')}\r\nserver-seal: s\r\n`
export const chunkedHead = (request: string) => `HTTP/1.1 200 OK\r\n${ownHeaders(request)}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`
export const letters = 'a'.repeat(1_024)

/** Bytes that are never an answer, whatever the request. */
export const floods: Record<string, Flood> = {
  'a head of endless lines': { begin: request => `HTTP/1.1 200 OK\r\n${ownHeaders(request)}`, block: `x-line: ${letters}\r\n` },
  'an endless header line': { begin: request => `HTTP/1.1 200 OK\r\n${ownHeaders(request)}x-line: `, block: letters },
  'an endless first line': { begin: () => 'HTTP/1.1 200 ', block: letters },
  'an endless row of preliminary answers': { begin: () => '', block: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n' },
  'endless trailers': { begin: request => `${chunkedHead(request)}${httpChunk(formatEvent(1))}0\r\n`, block: `x-line: ${letters}\r\n` },
  'an endless chunk size': { begin: chunkedHead, block: '0'.repeat(1_024) },
  'an endless chunk extension': { begin: request => `${chunkedHead(request)}5;x=`, block: letters },
  'no answer at all': { begin: () => '', block: 'garbage ' }
}
export const bytesAfterBody: Flood = { begin: request => `HTTP/1.1 200 OK\r\n${ownHeaders(request)}content-length: 2\r\n\r\nok`, block: letters }
export const endlessEvent: Flood = { begin: request => `${chunkedHead(request)}${httpChunk('id: 1\ndata: ')}`, block: httpChunk(letters) }
/** Responses of which a gateway uses the head alone, with a body without end. */
export const discardedFloods: Record<string, Flood> = {
  'a refusal': { begin: request => refusalHead(request, '503 Service Unavailable', 'not-executed: 1\r\n'), block: httpChunk(letters) },
  'a failure marked as not executed': { begin: request => refusalHead(request, '500 Internal Server Error', 'not-executed: 1\r\n'), block: httpChunk(letters) },
  'a rejection as misdirected': { begin: request => refusalHead(request, '421 Misdirected Request'), block: httpChunk(letters) },
  'a status that promises too much': { begin: request => refusalHead(request, '429 Too Many Requests'), block: httpChunk(letters) },
  'a refusal of an immense length': { begin: request => refusalHead(request, '503 Service Unavailable', 'not-executed: 1\r\n', 'content-length: 1000000000000'), block: letters },
  'a refusal without a frame': { begin: request => refusalHead(request, '503 Service Unavailable', 'not-executed: 1\r\n', 'connection: close'), block: letters }
}
export const streamFloods: Record<string, Flood> = { ...floods, 'an event that never ends': endlessEvent }
/** Responses that stop within what a gateway accepts of an event or a body, and are never whole. */
export const stoppedFloods: Record<string, Flood> = {
  'an event that stops': { ...endlessEvent, maximumBytes: 1_000_000 },
  'a body that stops': { begin: request => `HTTP/1.1 200 OK\r\n${ownHeaders(request)}content-length: 1000000\r\n\r\n`, block: letters, maximumBytes: 250_000 }
}

function refusalHead (request: string, status: string, headers = '', frame = 'transfer-encoding: chunked'): string {
  return `HTTP/1.1 ${status}\r\n${ownHeaders(request)}${headers}${frame}\r\n\r\n`
}
