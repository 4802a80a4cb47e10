import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { afterEach, expect, test, vi } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { Connections } from '../src/endpoint/connections.ts'
import { Exchange } from '../src/endpoint/exchange.ts'
import { maximumTurnBytes, maximumTurnPieces } from '../src/endpoint/turnShare.ts'

const streamCount = 5
const observedPieces = 50 * streamCount * maximumTurnPieces
const exchangeOptions = { clock: new SystemClock(), method: 'GET', path: '/', headers: {}, body: undefined, inactivityTimeoutMilliseconds: 60_000, mayStillSend: () => true }

let worker: Worker | undefined
afterEach(async () => {
  vi.restoreAllMocks()
  await worker?.terminate()
  worker = undefined
})

async function startFlood (isRising: boolean): Promise<string> {
  worker = new Worker(new URL('./fakes/floodWorker.mjs', import.meta.url), { workerData: { isRising } })
  const [{ port }] = await once(worker, 'message')
  return `127.0.0.1:${port}`
}

/** An exchange whose response has begun, and a connection that hands on pieces of it until it is paused. */
function receiving () {
  const connection = { paused: false, pause: () => { connection.paused = true }, resume: () => { connection.paused = false }, abort: () => undefined }
  const exchange = new Exchange(exchangeOptions)
  exchange.onRequestStart(connection as never)
  exchange.onResponseStart(connection as never, 200, {})
  expect(exchange.poll()).toMatchObject({ type: 'head' })
  /** Returns the number of pieces that were taken, up to a maximum. */
  const receive = (piece: Buffer, maximumPieces: number) => {
    let pieces = 0
    for (; !connection.paused && pieces < maximumPieces; pieces++) exchange.onResponseData(connection as never, piece)
    return pieces
  }
  return { connection, exchange, receive }
}

/** Reads a stream until it fails, or aborts it after a number of bytes. */
async function readUntil (exchange: Exchange, maximumBytes: number) {
  const chunks: Buffer[] = []
  for (let bytes = 0; ;) {
    const event = await exchange.next()
    if (event.type === 'failure') return { text: Buffer.concat(chunks).toString(), reason: event.reason }
    if (event.type !== 'data') continue
    chunks.push(event.bytes)
    bytes += event.bytes.length
    if (bytes > maximumBytes) exchange.abort('over')
  }
}

function expectWhole ({ text, reason }: { readonly text: string, readonly reason: string }): void {
  expect(reason).toBe('over')
  const events = text.split('\n\n').slice(0, -1)
  expect(events.findIndex((event, index) => event !== `id: ${index + 1}\ndata: x`)).toBe(-1)
}

const nextTurn = () => new Promise(resolve => setImmediate(resolve))

test('a connection hands on so many small pieces, and more only after other input was read', async () => {
  const { connection, exchange, receive } = receiving()
  for (let turn = 0; turn < 3; turn++) {
    expect(receive(Buffer.from('a'), 10 * maximumTurnPieces)).toBe(maximumTurnPieces)
    expect(exchange.poll()).toEqual({ type: 'data', bytes: Buffer.alloc(maximumTurnPieces, 'a') })
    expect(connection.paused).toBe(true)
    await nextTurn()
    expect(connection.paused).toBe(false)
  }
})

test('a connection whose bytes are consumed at once hands on so many of them in a turn', async () => {
  const { connection, exchange } = receiving()
  const piece = Buffer.alloc(16 * 1024)
  let bytes = 0
  for (; !connection.paused; bytes += piece.length) {
    exchange.onResponseData(connection as never, piece)
    exchange.poll()
  }
  expect(bytes).toBe(maximumTurnBytes)
  await nextTurn()
  expect(connection.paused).toBe(false)
})

test('a connection that is paused for the next turn is not resumed when its exchange has ended or its bytes are not consumed', async () => {
  const ended = receiving()
  ended.receive(Buffer.from('a'), 10 * maximumTurnPieces)
  ended.exchange.abort('over')
  const unread = receiving()
  unread.receive(Buffer.alloc(1_024), 10 * maximumTurnPieces)
  await nextTurn()
  expect([ended.connection.paused, unread.connection.paused]).toEqual([true, true])
  unread.exchange.poll()
  expect(unread.connection.paused).toBe(false)
})

test('streams of small events without end take a bounded part of each turn of the event loop', async () => {
  const connections = new Connections({ clock: new SystemClock(), connectTimeoutMilliseconds: 1_000 })
  const address = await startFlood(true)
  const received = vi.spyOn(Exchange.prototype, 'onResponseData')
  const exchanges = Array.from({ length: streamCount }, () => connections.startDedicated(address, exchangeOptions))
  const readings = exchanges.map(exchange => readUntil(exchange, Number.POSITIVE_INFINITY))
  const piecesByTurn: number[] = []
  for (let pieces = 0; pieces < observedPieces; pieces += piecesByTurn.at(-1)!) {
    received.mockClear()
    await nextTurn()
    piecesByTurn.push(received.mock.calls.length)
  }
  for (const exchange of exchanges) exchange.abort('over')
  const streams = await Promise.all(readings)
  await connections.close()
  // One part as the connection is resumed, and one where its input had been read.
  expect(Math.max(...piecesByTurn)).toBeLessThanOrEqual(2 * streamCount * maximumTurnPieces)
  for (const stream of streams) expectWhole(stream)
})

test('streams whose connections are paused time and again arrive without a gap', async () => {
  const connections = new Connections({ clock: new SystemClock(), connectTimeoutMilliseconds: 1_000 })
  const address = await startFlood(true)
  for (let round = 0; round < 60; round++) {
    const exchanges = Array.from({ length: streamCount }, () => connections.startDedicated(address, exchangeOptions))
    for (const stream of await Promise.all(exchanges.map(exchange => readUntil(exchange, 100_000)))) expectWhole(stream)
  }
  await connections.close()
})
