import { createServer, type Server, type Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { Connections } from '../src/endpoint/index.ts'
import { listenOn } from '../src/server/index.ts'

let server: Server | undefined
afterEach(() => server?.close())

const unframedHead = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'

/** How an answer without a length ends for its reader. */
async function finalEventType (endConnection: (socket: Socket) => void): Promise<string> {
  server = createServer(socket => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      socket.write(`${unframedHead}half`)
      setTimeout(() => endConnection(socket), 20)
    })
  })
  const address = await listenOn(server as never, '127.0.0.1:0')
  const connections = new Connections({ connectTimeoutMilliseconds: 1_000 })
  const exchange = connections.startDedicated(address, {
    clock: new SystemClock(), method: 'GET', path: '/', headers: {}, body: undefined, inactivityTimeoutMilliseconds: 5_000, mayStillSend: () => true
  })
  for (;;) {
    const event = await exchange.next()
    if (event.type === 'end' || event.type === 'failure') return event.type
  }
}

test('an answer without a length that ends with its connection is whole', async () => {
  expect(await finalEventType(socket => socket.end())).toBe('end')
})

test('an answer without a length whose connection is reset is not whole', async () => {
  expect(await finalEventType(socket => socket.resetAndDestroy())).toBe('failure')
})
