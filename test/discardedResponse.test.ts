import { expect, test } from 'vitest'
import { Exchange, maximumDiscardMilliseconds, maximumDiscardedBytes } from '../src/endpoint/exchange.ts'
import { StreamAssembler } from '../src/endpoint/streamAssembler.ts'
import { StreamReader } from '../src/endpoint/streamReader.ts'
import { ManualClock } from './fakes/manualClock.ts'

const letters = Buffer.alloc(1_024, 'a')
const byteIntervalMilliseconds = 10

/** An exchange whose refusal has begun to arrive, and the connection that it came over. */
function receiveRefusal (headers: Readonly<Record<string, string>> = {}) {
  const clock = new ManualClock()
  const connection = { paused: false, isClosed: false, pause: () => { connection.paused = true }, resume: () => { connection.paused = false }, abort: () => { connection.isClosed = true } }
  const exchange = new Exchange({ clock, method: 'GET', path: '/', headers: {}, body: undefined, inactivityTimeoutMilliseconds: 60_000, mayStillSend: () => true })
  exchange.onRequestStart(connection as never)
  exchange.onResponseStart(connection as never, 503, headers)
  const receive = (bytes: Buffer) => exchange.onResponseData(connection as never, bytes)
  return { clock, connection, exchange, receive }
}

test('a discarded response without end is read up to a bound, and its connection is closed', () => {
  const { connection, exchange, receive } = receiveRefusal()
  exchange.discardRest()
  let discardedBytes = 0
  for (; !connection.isClosed && discardedBytes <= 2 * maximumDiscardedBytes; discardedBytes += letters.length) receive(letters)
  expect(connection.isClosed).toBe(true)
  expect(discardedBytes).toBe(maximumDiscardedBytes + letters.length)
})

test('a discarded response that arrives byte by byte is read for a limited time, and its connection is closed', async () => {
  const { clock, connection, exchange, receive } = receiveRefusal()
  exchange.discardRest()
  for (let milliseconds = 0; milliseconds < maximumDiscardMilliseconds; milliseconds += byteIntervalMilliseconds) {
    expect(connection.isClosed).toBe(false)
    receive(letters.subarray(0, 1))
    await clock.advance(byteIntervalMilliseconds)
  }
  expect(connection.isClosed).toBe(true)
})

test('a discarded response that stops arriving does not keep its connection', async () => {
  const { clock, connection, exchange } = receiveRefusal()
  exchange.discardRest()
  await clock.advance(maximumDiscardMilliseconds)
  expect(connection.isClosed).toBe(true)
})

test('a discarded response that ends within the bounds leaves its connection open', async () => {
  const { clock, connection, exchange, receive } = receiveRefusal()
  exchange.discardRest()
  receive(Buffer.alloc(maximumDiscardedBytes))
  await clock.advance(maximumDiscardMilliseconds - 1)
  exchange.onResponseEnd()
  await clock.advance(maximumDiscardMilliseconds)
  expect(connection.isClosed).toBe(false)
})

test('bytes that were received before a response is discarded are kept no longer, and its connection is read on', () => {
  const { connection, exchange, receive } = receiveRefusal()
  receive(Buffer.alloc(maximumDiscardedBytes + 1))
  expect(connection.paused).toBe(true)
  exchange.discardRest()
  expect(exchange.bufferedBytes).toBe(0)
  expect(connection.paused).toBe(false)
})

test('an engine whose refusal arrives byte by byte does not hold up its attempt, and is not taken to have refused', async () => {
  const { clock, connection, exchange, receive } = receiveRefusal({ 'x-attempt-id': 'a-1', 'transfer-encoding': 'chunked' })
  const refusal = new StreamReader(exchange, new StreamAssembler('a-1')).next()
  for (let milliseconds = 0; milliseconds < maximumDiscardMilliseconds; milliseconds += byteIntervalMilliseconds) {
    receive(letters.subarray(0, 1))
    await clock.advance(byteIntervalMilliseconds)
  }
  expect(connection.isClosed).toBe(true)
  expect(await refusal).toMatchObject({ type: 'refused', failure: { delivery: 'maybe' } })
})

test('an engine whose refusal arrives whole in one read has refused', async () => {
  const { exchange, receive } = receiveRefusal({ 'x-attempt-id': 'a-1', 'content-length': '1' })
  receive(letters.subarray(0, 1))
  exchange.onResponseEnd()
  const refusal = new StreamReader(exchange, new StreamAssembler('a-1')).next()
  expect(await refusal).toMatchObject({ type: 'refused', failure: { delivery: 'refused' } })
})
