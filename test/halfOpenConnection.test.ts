import { type Server, createServer } from 'node:http'
import { type AddressInfo, type Socket, connect } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { allowHalfOpen } from '../src/server/halfClose.ts'
import { listenOn } from '../src/server/index.ts'
import { waitUntil } from './fakes/forwarderWorld.ts'
import { pause } from './fakes/rawCaller.ts'

const answerMilliseconds = 200
const unreadMilliseconds = 500
const longAnswer = 'x'.repeat(16 * 1024 * 1024)

let server: Server
let caller: Socket
afterEach(() => {
  caller.destroy()
  server.close()
})

async function callHalfClosing (): Promise<void> {
  await listenOn(server, '127.0.0.1:0')
  caller = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
  caller.on('error', () => undefined)
  caller.end('GET / HTTP/1.1\r\nhost: a\r\n\r\n')
}

function connectionCount (): Promise<number> {
  return new Promise(resolve => server.getConnections((_error, count) => resolve(count)))
}

test.each(['reads nothing', 'has closed'])('the connection of a caller that half-closes and %s is closed in time', async kind => {
  server = createServer((_request, response) => { setTimeout(() => response.end(longAnswer), answerMilliseconds) })
  allowHalfOpen(server, unreadMilliseconds)
  await callHalfClosing()
  caller.pause()
  await pause(answerMilliseconds / 2)
  expect(await connectionCount()).toBe(1)
  if (kind === 'has closed') caller.destroy()
  await waitUntil(async () => await connectionCount() === 0)
})

test('a caller that half-closes gets its answer although it runs for longer than its connection may be unread', async () => {
  server = createServer((_request, response) => { setTimeout(() => response.end('done'), 2 * unreadMilliseconds) })
  allowHalfOpen(server, unreadMilliseconds)
  await callHalfClosing()
  let text = ''
  caller.on('data', chunk => { text += chunk })
  await waitUntil(() => text.endsWith('done'))
})

test('a caller that half-closes and reads slowly gets its whole answer', async () => {
  server = createServer((_request, response) => { setTimeout(() => response.end(longAnswer), answerMilliseconds) })
  allowHalfOpen(server, unreadMilliseconds)
  await callHalfClosing()
  let bytes = 0
  caller.on('data', chunk => {
    bytes += chunk.length
    caller.pause()
    setTimeout(() => caller.resume(), 2)
  })
  await waitUntil(() => bytes >= longAnswer.length)
})
