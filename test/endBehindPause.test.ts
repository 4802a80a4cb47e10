import { expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { Connections } from '../src/endpoint/connections.ts'
import { maximumBufferedBytes } from '../src/endpoint/exchange.ts'
import { pause } from './fakes/rawCaller.ts'
import { startScriptedServer } from './fakes/scriptedServer.ts'

const clock = new SystemClock()
const length = maximumBufferedBytes + 500

test.each([
  ['the end of its connection', 'connection: close'],
  ['its length', `content-length: ${length}`],
  ['its length, on a connection that closes', `connection: close\r\ncontent-length: ${length}`]
])('a response framed by %s is whole if its connection ends while it is paused with nothing left to read', async (_name, header) => {
  const uncaught: string[] = []
  const record = (error: Error) => { uncaught.push(error.message) }
  process.on('uncaughtException', record)
  const server = await startScriptedServer(async socket => {
    socket.write(`HTTP/1.1 200 OK\r\n${header}\r\n\r\n${'x'.repeat(length)}`)
    await pause(100)
    socket.end()
  })
  const connections = new Connections({ clock, connectTimeoutMilliseconds: 1_000 })
  const exchange = connections.startDedicated(server.address, { clock, method: 'GET', path: '/', headers: {}, body: undefined, inactivityTimeoutMilliseconds: 1_000, mayStillSend: () => true })
  await exchange.next()
  await pause(300)
  const events = [await exchange.next()]
  while (events.at(-1)?.type === 'data') events.push(await exchange.next())
  await connections.close()
  await server.close()
  process.off('uncaughtException', record)
  expect({ bytes: events.reduce((sum, event) => sum + (event.type === 'data' ? event.bytes.length : 0), 0), last: events.at(-1), uncaught }).toEqual({ bytes: length, last: { type: 'end' }, uncaught: [] })
})
