import { afterEach, expect, test } from 'vitest'
import { RowStore } from '../platform/index.ts'
import { SystemClock } from '../src/contract/index.ts'
import { httpReply, startScriptedServer } from './fakes/scriptedServer.ts'

const maximumPages = 200
const closers: (() => Promise<unknown>)[] = []

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close()
})

test('a store that always says there is more of a table is not read without end', async () => {
  let requests = 0
  const server = await startScriptedServer(socket => {
    requests++
    socket.write(httpReply(JSON.stringify({ rows: [{ key: `key-${requests}`, data: '', ver: 1 }], ver: 1, now_ms: 1, has_more: true })))
  })
  const rows = new RowStore({ clock: new SystemClock(), address: server.address })
  closers.push(() => server.close(), () => rows.close())
  expect((await rows.snapshot('op')).err).toBe(true)
  await new Promise(resolve => setTimeout(resolve, 100))
  expect(requests).toBeLessThanOrEqual(maximumPages)
})
