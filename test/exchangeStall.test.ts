import type { Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { Connections, DeadlineReader, type ExchangeOptions } from '../src/endpoint/index.ts'
import { Exchange } from '../src/endpoint/exchange.ts'
import { ManualClock } from './fakes/manualClock.ts'
import { block, pause } from './fakes/rawCaller.ts'
import { type ScriptedServer, httpReply, startScriptedServer } from './fakes/scriptedServer.ts'

const timeoutMilliseconds = 300
const clock = new SystemClock()
const connections = new Connections({ clock, connectTimeoutMilliseconds: 450 })
const exchangeOptions: ExchangeOptions = { clock, method: 'GET', path: '/', headers: {}, body: undefined, inactivityTimeoutMilliseconds: timeoutMilliseconds, mayStillSend: () => true }
const servers: ScriptedServer[] = []

afterEach(async () => { await Promise.all(servers.splice(0).map(server => server.close())) })

/** Starts an exchange, and returns it with the server's end of its connection once its request has arrived there. */
async function startExchange (options: Partial<ExchangeOptions> = {}): Promise<{ readonly exchange: Exchange, readonly socket: Socket }> {
  let exchange: Exchange | undefined
  const socket = await new Promise<Socket>(resolve => {
    startScriptedServer(resolve).then(server => {
      servers.push(server)
      exchange = connections.startDedicated(server.address, { ...exchangeOptions, ...options })
    })
  })
  return { exchange: exchange!, socket }
}

/** Writes to the kernel, and holds the event loop up where timers come due before input is read again. */
async function writeAndStall (socket: Socket, text: string, milliseconds: number): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
  socket.write(text)
  block(milliseconds)
}

test('a response that has arrived is not lost to the inactivity timeout that comes due in a stall of the event loop', async () => {
  const { exchange, socket } = await startExchange()
  await writeAndStall(socket, httpReply('ok'), 2 * timeoutMilliseconds)
  expect(await exchange.next()).toMatchObject({ type: 'head', status: 200 })
})

test('an event that has arrived is not lost to the deadline of its reader that comes due in a stall of the event loop', async () => {
  const { exchange, socket } = await startExchange({ inactivityTimeoutMilliseconds: 60_000 })
  const reader = new DeadlineReader(exchange, clock)
  const event = reader.next(clock.now() + timeoutMilliseconds)
  await writeAndStall(socket, httpReply('ok'), 2 * timeoutMilliseconds)
  expect(await event).toMatchObject({ type: 'head', status: 200 })
  reader.close()
})

test('the rest of a discarded response that has arrived in a stall of the event loop does not cost its connection', async () => {
  const { exchange, socket } = await startExchange({ inactivityTimeoutMilliseconds: 60_000 })
  const [head, body] = [httpReply('ok').slice(0, -2), 'ok']
  socket.write(head)
  await exchange.next()
  exchange.discardRest()
  const end = exchange.next()
  await pause(200)
  await writeAndStall(socket, body, 1_200)
  expect(await end).toEqual({ type: 'end' })
})

test('an endpoint is connected to although the time for it ends in a stall of the event loop', async () => {
  const server = await startScriptedServer(socket => { socket.write(httpReply('ok')) })
  servers.push(server)
  await new Promise(resolve => setImmediate(resolve))
  const exchange = connections.startDedicated(server.address, { ...exchangeOptions, inactivityTimeoutMilliseconds: 60_000 })
  await pause(0)
  await new Promise(resolve => setImmediate(resolve))
  block(2_000)
  expect(await exchange.next()).toMatchObject({ type: 'head', status: 200 })
})

test('silence counts only while the event loop runs, and is found in its time after a stall of any length', async () => {
  for (const stallMilliseconds of [100, 1_000, 60_000]) {
    const manualClock = new ManualClock()
    const exchange = Exchange.start(() => ({ dispatch: () => true }), { ...exchangeOptions, clock: manualClock })
    await manualClock.advance(200)
    await manualClock.stall(stallMilliseconds)
    await manualClock.advance(99)
    expect(exchange.eventCount).toBe(0)
    await manualClock.advance(2)
    expect(exchange.poll()).toMatchObject({ type: 'failure', timedOut: true })
  }
})
