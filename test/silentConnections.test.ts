import { afterEach, expect, test } from 'vitest'
import { RowStore, RowWriteOutcome } from '../platform/index.ts'
import { StoreStandIn } from '../platform/standin/index.ts'
import { SystemClock } from '../src/contract/index.ts'
import { PlatformClient } from '../src/store/platformClient.ts'
import { SilencingProxy } from './fakes/silencingProxy.ts'

const clock = new SystemClock()
const closers: (() => Promise<void>)[] = []

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close()
})

async function startProxiedStore () {
  const store = await StoreStandIn.start('127.0.0.1')
  const proxy = await SilencingProxy.start('127.0.0.1', store.address)
  closers.push(() => store.close(), () => proxy.close())
  return { store, proxy }
}

/** Runs calls beside each other, each of which needs a connection of its own. */
async function openConnections (proxy: SilencingProxy, call: () => Promise<unknown>): Promise<void> {
  await Promise.all([call(), call(), call()])
  expect(proxy.connectionCount).toBe(3)
}

async function startRowStore () {
  const { store, proxy } = await startProxiedStore()
  const rows = new RowStore({ clock, address: proxy.address })
  closers.push(() => rows.close())
  await openConnections(proxy, () => rows.snapshot('op'))
  return { store, proxy, rows }
}

test('no read of the store uses a connection that was open when a feed call timed out', async () => {
  const { proxy, rows } = await startRowStore()
  proxy.silence()
  expect((await rows.changes('op', 0, 0)).ok).toBe(false)
  const discardedBytes = proxy.discardedBytes
  const reads = await Promise.all([rows.snapshot('op'), rows.changes('op', 0, 0), rows.changes('servers', 0, 0)])
  expect(reads.map(read => read.ok)).toEqual([true, true, true])
  expect(proxy.discardedBytes).toBe(discardedBytes)
})

test('no write uses a connection that was open when an earlier write timed out', async () => {
  const { store, proxy, rows } = await startRowStore()
  proxy.silence()
  expect(await rows.put('status', 'first', Buffer.from('{}'))).toBe(RowWriteOutcome.Unknown)
  expect(await rows.put('status', 'second', Buffer.from('{}'))).toBe(RowWriteOutcome.Written)
  expect(store.read('status', 'second')).toEqual({})
})

test('a call that waits for a part of a millisecond is held like any other, though the store takes whole ones only', async () => {
  const { rows } = await startRowStore()
  expect((await rows.changes('op', 0, 20.5)).ok).toBe(true)
})

test('a feed call that runs goes on when another call times out', async () => {
  const { store, proxy, rows } = await startRowStore()
  proxy.silence()
  const silent = [1, 2, 3].map(() => rows.changes('servers', 0, 0))
  // The silent connections are busy, so this call opens another one.
  const running = rows.changes('op', 0, 3_000)
  expect((await Promise.all(silent)).map(({ ok }) => ok)).toContain(false)
  store.put('op', 'config', { version: 1 })
  expect((await running).unwrap().rows).toHaveLength(1)
})

test('a call that its caller ended leaves the other connections in use', async () => {
  const { proxy, rows } = await startRowStore()
  const ended = new AbortController()
  const held = rows.changes('op', 0, 2_000, ended.signal)
  ended.abort()
  await held
  await Promise.all([1, 2, 3].map(() => rows.snapshot('op')))
  // Only the connection of the ended call is replaced.
  expect(proxy.connectionCount).toBe(4)
})

test('the client of the platform keeps the same rule', async () => {
  const { proxy } = await startProxiedStore()
  const client = new PlatformClient({ clock, address: proxy.address, timeoutMilliseconds: 300 })
  closers.push(() => client.close())
  const read = () => client.request({ method: 'GET', path: '/v1/rows-get?table=op', isWrite: false })
  await openConnections(proxy, read)
  proxy.silence()
  expect((await read()).ok).toBe(false)
  const discardedBytes = proxy.discardedBytes
  expect((await read()).ok).toBe(true)
  expect(proxy.discardedBytes).toBe(discardedBytes)
})
