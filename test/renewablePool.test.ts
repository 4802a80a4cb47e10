import { once } from 'node:events'
import { type Socket, connect } from 'node:net'
import { Worker } from 'node:worker_threads'
import { afterEach, expect, test } from 'vitest'
import { Ok, SystemClock, replyTimeoutSignal } from '../src/contract/index.ts'
import { RenewablePool } from '../src/httpClient/index.ts'
import { type ScriptedServer, httpReply, startScriptedServer } from './fakes/scriptedServer.ts'
import { pause } from './fakes/rawCaller.ts'

const clock = new SystemClock()
const connectTimeoutMilliseconds = 1_500
const timeoutMilliseconds = 200
const filling: Socket[] = []
let worker: Worker | undefined
let pool: RenewablePool | undefined
let server: ScriptedServer | undefined

afterEach(async () => {
  await pool?.destroy()
  for (const socket of filling.splice(0)) socket.destroy()
  await worker?.terminate()
  await server?.close()
  worker = pool = server = undefined
})

async function startFullListener (): Promise<string> {
  worker = new Worker(new URL('./fakes/fullBacklog.mjs', import.meta.url))
  const [port] = await once(worker, 'message')
  for (let count = 0; count < 4; count++) filling.push(connect({ port, host: '127.0.0.1' }).on('error', () => undefined))
  await pause(100)
  return `http://127.0.0.1:${port}`
}

test.each(['overdue', 'ended'] as const)('a call that is %s while it connects ends at once, and was not sent', async name => {
  pool = new RenewablePool(await startFullListener(), { clock, connectTimeoutMilliseconds })
  const { signal } = replyTimeoutSignal(clock, timeoutMilliseconds)
  const startedAt = clock.now()
  const reply = await pool.request({ method: 'GET', path: '/', overdue: new AbortController().signal, [name]: signal, read: () => Ok(true) })
  const milliseconds = clock.now() - startedAt
  if (process.env['LAVENDERDOOR_SHOW_TIMES'] !== undefined) console.log(JSON.stringify({ name, milliseconds }))
  expect(reply.err && reply.val.mayHaveBeenSent).toBe(false)
  expect(milliseconds).toBeLessThan(connectTimeoutMilliseconds / 2)
})

test.each([0, 20])('a call that is overdue %i ms after it was sent may have been sent, and is sent no more', async milliseconds => {
  const requests: string[] = []
  server = await startScriptedServer((_socket, _connection, received) => { requests.push(received) })
  pool = new RenewablePool(`http://${server.address}`, { clock, connectTimeoutMilliseconds })
  const overdue = new AbortController()
  const reply = pool.request({ method: 'GET', path: '/', overdue: overdue.signal, read: () => Ok(true) })
  while (requests.length === 0) await pause(1)
  await pause(milliseconds)
  overdue.abort()
  const outcome = await reply
  expect(outcome.err && outcome.val.mayHaveBeenSent).toBe(true)
  await pause(50)
  expect(requests).toHaveLength(1)
})

test('a call that is over before it has a connection is never sent, and the next one is', async () => {
  const requests: string[] = []
  server = await startScriptedServer((socket, _connection, received) => {
    requests.push(received.split('\r\n')[0]!)
    socket.write(httpReply('ok'))
  })
  pool = new RenewablePool(`http://${server.address}`, { clock, connectTimeoutMilliseconds })
  const overdue = new AbortController()
  const reply = pool.request({ method: 'GET', path: '/over', overdue: overdue.signal, read: () => Ok(true) })
  overdue.abort()
  expect((await reply).err).toBe(true)
  await pause(50)
  const next = await pool.request({ method: 'GET', path: '/next', overdue: new AbortController().signal, read: ({ status }) => Ok(status) })
  expect(next.unwrap()).toBe(200)
  expect(requests).toEqual(['GET /next HTTP/1.1'])
})
