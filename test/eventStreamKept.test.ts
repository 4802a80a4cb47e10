import { createServer, type Server } from 'node:http'
import { connect } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { EventStreamResponse } from '../src/gateway/eventStreamResponse.ts'
import { listenOn } from '../src/server/index.ts'
import { pause } from './fakes/rawCaller.ts'

let server: Server
afterEach(() => server.closeAllConnections())

async function answers (request: string, events: readonly string[], explicit = true): Promise<string> {
  server = createServer(async (_request, response) => {
    const stream = new EventStreamResponse(response)
    stream.begin(200, explicit ? { 'transfer-encoding': 'chunked', 'x-name': 'é' } : {})
    for (const event of events) { stream.write(event); await pause(5) }
    stream.end()
  })
  const [host, port] = (await listenOn(server, '127.0.0.1:0')).split(':')
  let text = ''
  const socket = connect({ host, port: Number(port) }, () => socket.write(request))
  socket.on('data', bytes => { text += bytes.toString('latin1') })
  await pause(300)
  socket.destroy()
  return text
}

const get = (method: string, version = '1.1') => `${method} / HTTP/${version}\r\nhost: a\r\n\r\n`

test.each([true, false])('two pipelined streams with bytes above 0x7f are framed each by itself (explicit %s)', async explicit => {
  const text = await answers(get('GET') + get('GET'), ['data: é\n\n', 'data: ÿ\n\n'], explicit)
  expect(text.match(/HTTP\/1.1 200/g)).toHaveLength(2)
  expect(text.match(/\r\n\r\n9\r\ndata: é\n\n\r\n9\r\ndata: ÿ\n\n\r\n0\r\n\r\n/g)).toHaveLength(2)
})

test.each([true, false])('HEAD gets a head without a body and the next answer follows it (explicit %s)', async explicit => {
  const text = await answers(get('HEAD') + get('GET'), ['data: a\n\n'], explicit)
  expect(text.split('HTTP/1.1 200')[1]).not.toContain('data')
  expect(text.split('HTTP/1.1 200')[1]).toMatch(/\r\n\r\n$/)
  expect(text.match(/HTTP\/1.1 200/g)).toHaveLength(2)
})

test('a caller with HTTP 1.0 gets no chunk sizes', async () => {
  const text = await answers(get('GET', '1.0'), ['data: a\n\n'], false)
  expect(text).toMatch(/\r\n\r\ndata: a\n\n$/)
})
