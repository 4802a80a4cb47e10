import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { afterEach, expect, test } from 'vitest'
import { RowStore } from '../platform/index.ts'
import { SystemClock } from '../src/contract/index.ts'
import { feedCallTimeoutMilliseconds } from '../src/replica/index.ts'
import { PlatformClient } from '../src/store/platformClient.ts'
import { block, pause } from './fakes/rawCaller.ts'
import { SilencingProxy } from './fakes/silencingProxy.ts'

const closers: (() => Promise<unknown>)[] = []

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close()
})

function startClock (): SystemClock {
  const clock = new SystemClock()
  clock.startMonitor(() => undefined)
  return clock
}

/** The HTTP library uses a connection again only some turns of the event loop after a reply. */
const untilReusableMilliseconds = 5

async function connect (rows: RowStore): Promise<void> {
  expect((await rows.changes('op', 1, 0)).ok).toBe(true)
  await pause(untilReusableMilliseconds)
}

/** A store in a thread of its own, and a client of it with one open connection unless it is to connect first. */
async function startStore ({ isConnected = true } = {}) {
  const connections = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)
  const worker = new Worker(new URL('./fakes/threadedStore.mjs', import.meta.url), { workerData: { replyMilliseconds: 20, connections } })
  const [address] = await once(worker, 'message') as [string]
  const rows = new RowStore({ address, clock: startClock() })
  closers.push(() => worker.terminate(), () => rows.close())
  if (isConnected) await connect(rows)
  return { address, rows, connectionCount: () => Atomics.load(new Int32Array(connections), 0) }
}

/** Holds the event loop up in the phase after which timers come due before input is read. */
async function stall (milliseconds: number): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
  block(milliseconds)
}

test.each([
  { waitMilliseconds: 0, stallAfterMilliseconds: 1, stallMilliseconds: 1_300 },
  { waitMilliseconds: 400, stallAfterMilliseconds: 1, stallMilliseconds: 1_300 },
  { waitMilliseconds: 2_750, stallAfterMilliseconds: 2_700, stallMilliseconds: 800 }
])('a reply of the store that has arrived is not lost in a stall of the event loop: held $waitMilliseconds ms, stall of $stallMilliseconds ms', async ({ waitMilliseconds, stallAfterMilliseconds, stallMilliseconds }) => {
  const { rows, connectionCount } = await startStore()
  const call = rows.changes('op', 1, waitMilliseconds)
  await pause(stallAfterMilliseconds)
  await stall(stallMilliseconds)
  expect((await call).ok).toBe(true)
  await pause(untilReusableMilliseconds)
  await rows.changes('op', 1, 0)
  expect(connectionCount()).toBe(1)
}, 10_000)

test('calls of the store in a series of stalls of the event loop are not lost and open no further connections', async () => {
  const { rows, connectionCount } = await startStore()
  const over = new AbortController()
  const outcomes: boolean[] = []
  const calls = (async () => {
    while (!over.signal.aborted) {
      outcomes.push((await rows.changes('op', 1, outcomes.length % 2 === 0 ? 0 : 400)).ok)
      await pause(untilReusableMilliseconds)
    }
  })()
  for (let index = 0; index < 10; index++) {
    await stall(1_000)
    await pause([20, 60, 100][index % 3]!)
  }
  over.abort()
  await calls
  expect({ lost: outcomes.filter(isAnswered => !isAnswered).length, connections: connectionCount() }).toEqual({ lost: 0, connections: 1 })
}, 30_000)

test('a call of the store that has to connect first is not lost in a stall of the event loop', async () => {
  const { rows, connectionCount } = await startStore({ isConnected: false })
  const call = rows.changes('op', 1, 0)
  await stall(1_300)
  expect((await call).ok).toBe(true)
  expect(connectionCount()).toBe(1)
})

test('a stall of the event loop early in a hold of the store does not prolong the wait for a silent connection', async () => {
  const { address } = await startStore()
  const proxy = await SilencingProxy.start('127.0.0.1', address)
  const rows = new RowStore({ address: proxy.address, clock: startClock() })
  closers.push(() => proxy.close(), () => rows.close())
  await connect(rows)
  proxy.silence()
  const startedAt = performance.now()
  const call = rows.changes('op', 1, 1_000)
  await pause(1)
  await stall(700)
  expect((await call).ok).toBe(false)
  expect(performance.now() - startedAt).toBeLessThan(feedCallTimeoutMilliseconds(1_000) + 300)
})

test('a reply of the platform that has arrived is not lost in a stall of the event loop', async () => {
  const { address } = await startStore()
  const client = new PlatformClient({ address, clock: startClock(), timeoutMilliseconds: 300 })
  closers.push(() => client.close())
  const read = () => client.request({ method: 'GET', path: '/v1/rows-get?table=op', isWrite: false })
  expect((await read()).ok).toBe(true)
  const call = read()
  await stall(600)
  expect((await call).ok).toBe(true)
})
