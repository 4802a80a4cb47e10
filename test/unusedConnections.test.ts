import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { Connections } from '../src/endpoint/connections.ts'
import { waitUntil } from './fakes/forwarderWorld.ts'
import { httpChunk } from './fakes/scriptedServer.ts'

const connections = new Connections({ clock: new SystemClock(), connectTimeoutMilliseconds: 1_000, keepAliveTimeoutMilliseconds: 60_000 })
const options = { clock: new SystemClock(), method: 'GET', path: '/', headers: {}, body: undefined, inactivityTimeoutMilliseconds: 60_000, mayStillSend: () => true }
const chunk = httpChunk('a'.repeat(16 * 1024))

let server: Server
let address: string
let accepted: Socket[]
beforeEach(async () => {
  accepted = []
  server = createServer(socket => {
    accepted.push(socket)
    const send = () => { if (!socket.destroyed) socket.write(chunk, () => setImmediate(send)) }
    socket.on('error', () => socket.destroy())
    socket.on('data', () => {
      socket.write('HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ntransfer-encoding: chunked\r\n\r\n')
      send()
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`
})
afterEach(async () => {
  for (const socket of accepted) socket.destroy()
  await connections.close()
  server.close()
})

const areClosed = () => accepted.every(socket => socket.destroyed)

test.each(['startDedicated', 'startPooled'] as const)('the connection of a refusal with a body without end is closed, and none is opened in its place (%s)', async start => {
  const exchange = connections[start](address, options)
  expect(await exchange.next()).toMatchObject({ type: 'head', status: 503 })
  exchange.discardRest()
  expect(await exchange.next()).toMatchObject({ type: 'failure' })
  await waitUntil(areClosed)
  // A connection that is opened after this one has been accepted before it.
  expect(await connections.startDedicated(address, options).next()).toMatchObject({ type: 'head' })
  expect(accepted).toHaveLength(2)
})
