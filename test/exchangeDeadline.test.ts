import { expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { untilArrivedIsRead } from '../src/endpoint/arrivedInput.ts'
import { isOverdue } from '../src/endpoint/index.ts'
import { Exchange, maximumBufferedBytes } from '../src/endpoint/exchange.ts'
import { block } from './fakes/rawCaller.ts'

const clock = new SystemClock()
const deadlineMilliseconds = 50
const stallMilliseconds = 80
const nextTurn = () => new Promise(resolve => setImmediate(resolve))

/** An exchange whose response has begun, and a connection that hands on pieces of it, as far as it is not paused, in each turn. */
function startExchange (pieceCount: number, piece = Buffer.from('a')) {
  const connection = { paused: false, isClosed: false, pause: () => { connection.paused = true }, resume: () => { connection.paused = false }, abort: () => { connection.isClosed = true } }
  const exchange = Exchange.start(() => ({ dispatch: () => true }), { clock, method: 'GET', path: '/', headers: {}, body: undefined, inactivityTimeoutMilliseconds: 60_000, deadline: clock.now() + deadlineMilliseconds, mayStillSend: () => true })
  exchange.onRequestStart(connection as never)
  exchange.onResponseStart(connection as never, 200, {})
  let pieces = 0
  const deliver = () => {
    for (; !connection.paused && !connection.isClosed && pieces < pieceCount; pieces++) exchange.onResponseData(connection as never, piece)
    if (pieces === pieceCount && !connection.paused) exchange.onResponseEnd()
    else if (!connection.isClosed) setImmediate(deliver)
  }
  return { connection, exchange, deliver }
}

async function read (exchange: Exchange) {
  for (let bytes = 0; ;) {
    const event = await exchange.next()
    if (event.type === 'data') bytes += event.bytes.length
    else if (event.type !== 'head') return { bytes, isWhole: event.type === 'end', isOverdue: isOverdue(event) }
  }
}

test.each([[1, 1], [3_000, 1], [40, maximumBufferedBytes]])('a response of %i pieces of %i bytes that has arrived before its deadline is whole after a stall over it', async (count, length) => {
  const { exchange, deliver } = startExchange(count, Buffer.alloc(length))
  await nextTurn()
  block(stallMilliseconds)
  setImmediate(deliver)
  expect(await read(exchange)).toEqual({ bytes: count * length, isWhole: true, isOverdue: false })
  expect(exchange.lateBytes).toBeLessThanOrEqual(count * length)
})

test('a response whose reader goes on after another stall behind the deadline is whole', async () => {
  const { exchange, deliver } = startExchange(3_000)
  await nextTurn()
  block(stallMilliseconds)
  setImmediate(deliver)
  const answer = read(exchange)
  for (let turn = 0; turn < 10; turn++) {
    await nextTurn()
    block(20)
  }
  expect(await answer).toMatchObject({ isWhole: true })
})

test.each([['one piece a turn', 1], ['many pieces', 100], ['long pieces', maximumBufferedBytes]])('a response that goes on without end, in %s, ends at its deadline as overdue', async (_name, length) => {
  const { connection, exchange } = startExchange(0)
  const startedAt = clock.now()
  const pieces = length === 100 ? 1_000 : 1
  const flood = () => {
    for (let piece = 0; piece < pieces && !connection.paused && !connection.isClosed; piece++) exchange.onResponseData(connection as never, Buffer.alloc(length))
    if (!connection.isClosed) setImmediate(flood)
  }
  flood()
  expect(await read(exchange)).toMatchObject({ isWhole: false, isOverdue: true })
  expect(connection.isClosed).toBe(true)
  if (process.env['LAVENDERDOOR_SHOW_TIMES'] !== undefined) console.log(JSON.stringify({ milliseconds: clock.now() - startedAt, lateBytes: exchange.lateBytes }))
})

test('a response of which nothing more has arrived ends at its deadline, also if its reader does not take what it has', async () => {
  for (const [count, length] of [[0, 1], [1, 1], [1, 2 * maximumBufferedBytes]] as const) {
    const { connection, exchange } = startExchange(0)
    for (let piece = 0; piece < count; piece++) exchange.onResponseData(connection as never, Buffer.alloc(length))
    while (!connection.isClosed) await nextTurn()
    expect(await read(exchange)).toEqual({ bytes: count * length, isWhole: false, isOverdue: true })
  }
})

test('a response that is discarded does not end at its deadline', async () => {
  const { connection, exchange } = startExchange(0)
  exchange.discardRest()
  await new Promise(resolve => setTimeout(resolve, 2 * deadlineMilliseconds))
  expect(connection.isClosed).toBe(false)
  exchange.onResponseEnd()
  expect(await exchange.next()).toEqual({ type: 'end' })
})

test('a response that goes on beyond its deadline is read no further than two polls where its connection keeps up', async () => {
  let receivedBytes = 0
  const reading = { isOver: false, isPaused: false, get receivedBytes () { return ++receivedBytes } }
  await untilArrivedIsRead(reading, clock, 100)
  expect(receivedBytes).toBeLessThan(5)
})
