import { once } from 'node:events'
import { type AddressInfo, type Socket, connect, createServer } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { SystemClock, scheduleReplyTimeout, withDeadline, withReplyTimeout } from '../src/contract/index.ts'
import { ManualClock } from './fakes/manualClock.ts'
import { block } from './fakes/rawCaller.ts'

const timeoutMilliseconds = 200
const closers: (() => void)[] = []

afterEach(() => { for (const close of closers.splice(0)) close() })

/** A connection, and the server's end of it. */
async function openConnection (): Promise<{ readonly client: Socket, readonly server: Socket }> {
  const listener = createServer().listen({ host: '127.0.0.1', port: 0 })
  await once(listener, 'listening')
  const accepted = once(listener, 'connection')
  const client = connect({ host: '127.0.0.1', port: (listener.address() as AddressInfo).port })
  const [server] = await accepted as [Socket]
  closers.push(() => client.destroy(), () => server.destroy(), () => listener.close())
  await once(client, 'connect')
  return { client, server }
}

/** Holds the event loop up where timers come due before input is read again. */
async function stall (milliseconds: number, begin: () => void = () => undefined): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
  begin()
  block(milliseconds)
}

test.each([
  ['a deadline', (clock: SystemClock, reply: Promise<unknown>) => withDeadline(clock, clock.now() + timeoutMilliseconds, reply)],
  ['a timeout', (clock: SystemClock, reply: Promise<unknown>) => withReplyTimeout(clock, timeoutMilliseconds, reply)]
])('a reply that has arrived is not lost to %s that comes due in a stall of the event loop', async (_name, wait) => {
  const { client, server } = await openConnection()
  const clock = new SystemClock()
  const outcome = wait(clock, once(client, 'data'))
  await stall(2 * timeoutMilliseconds, () => server.write('x'))
  expect(await outcome).toBeDefined()
})

test('a peer that sends without end does not outrun the deadline of a series of waits', async () => {
  const { client, server } = await openConnection()
  const clock = new SystemClock()
  const deadline = clock.now() + timeoutMilliseconds
  const bytes = Buffer.alloc(65_536)
  const send = () => { while (server.write(bytes)); }
  server.on('drain', send)
  send()
  while (await withDeadline(clock, deadline, once(client, 'data')) !== undefined) expect(clock.now()).toBeLessThan(deadline + 1_000)
  client.destroy()
})

test('a cancelled timeout that was due is not called after the input was read', async () => {
  const clock = new SystemClock()
  let calls = 0
  const cancel = clock.scheduleAfterInput(10, () => { calls++ })
  clock.schedule(10, cancel)
  await stall(20)
  await new Promise(resolve => setTimeout(resolve, 20))
  expect(calls).toBe(0)
})

test('a stall of the event loop counts as time in which nothing could arrive', async () => {
  const clock = new SystemClock()
  const holdUps: number[] = []
  clock.startMonitor(milliseconds => holdUps.push(milliseconds))
  await stall(600)
  const heldUpMilliseconds = clock.heldUpMilliseconds()
  expect(heldUpMilliseconds).toBeGreaterThan(300)
  await new Promise(resolve => setTimeout(resolve, 10))
  expect(holdUps).toHaveLength(1)
  expect(clock.heldUpMilliseconds()).toBeGreaterThanOrEqual(heldUpMilliseconds)
})

test('a timeout is prolonged by the time in which the process was held up, at most by its own length', async () => {
  const clock = new ManualClock()
  const start = clock.now()
  const overdueAfter: number[] = []
  scheduleReplyTimeout(clock, 1_000, () => overdueAfter.push(clock.now() - start))
  await clock.stall(300)
  await clock.advance(999)
  expect(overdueAfter).toEqual([])
  await clock.advance(1)
  expect(overdueAfter).toEqual([1_300])
  const cancelled: number[] = []
  const cancel = scheduleReplyTimeout(clock, 1_000, () => cancelled.push(clock.now()))
  await clock.stall(5_000)
  await clock.advance(999)
  expect(cancelled).toEqual([])
  cancel()
  await clock.advance(5_000)
  expect(cancelled).toEqual([])
})
