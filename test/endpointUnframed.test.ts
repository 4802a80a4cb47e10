import { createServer, type Server, type Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { Connections } from '../src/endpoint/index.ts'
import { listenOn } from '../src/server/index.ts'

let server: Server | undefined
afterEach(() => server?.close())

const unframedHead = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'

/** Returns the type of the last event that a reader gets from a response without a length. */
async function finalEventType (endConnection: (socket: Socket) => void): Promise<string> {
  server = createServer(socket => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      socket.write(`${unframedHead}half`)
      setTimeout(() => endConnection(socket), 20)
    })
  })
  const address = await listenOn(server as never, '127.0.0.1:0')
  const connections = new Connections({ clock: new SystemClock(), connectTimeoutMilliseconds: 1_000 })
  const exchange = connections.startDedicated(address, {
    clock: new SystemClock(), method: 'GET', path: '/', headers: {}, body: undefined, inactivityTimeoutMilliseconds: 5_000, mayStillSend: () => true
  })
  for (;;) {
    const event = await exchange.next()
    if (event.type === 'end' || event.type === 'failure') return event.type
  }
}

test('a response without a length that ends with its connection is complete', async () => {
  expect(await finalEventType(socket => socket.end())).toBe('end')
})

test('a response without a length is incomplete if its connection is reset', async () => {
  expect(await finalEventType(socket => socket.resetAndDestroy())).toBe('failure')
})
