import { type Server, createServer, request } from 'node:http'
import { type AddressInfo, connect } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { EventStreamResponse } from '../src/gateway/eventStreamResponse.ts'

const events = ['id: 1\ndata: a\n\n', `id: 2\ndata: ${'b'.repeat(5_000)}\n\n`, Buffer.from('data: 東\n\n', 'utf8').toString('latin1')]

let server: Server
let port: number
/** Parts in which the caller's connection got the response. */
let writes: string[]

beforeEach(async () => {
  writes = []
  server = createServer((incoming, response) => {
    const { socket } = incoming
    const write = socket.write.bind(socket)
    socket.write = ((part: string | Buffer, ...rest: never[]) => {
      writes.push(part.toString())
      return write(part, ...rest)
    }) as typeof socket.write
    const stream = new EventStreamResponse(response)
    stream.begin(200, { 'content-type': 'text/event-stream' })
    for (const event of events) stream.write(event)
    stream.end()
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  port = (server.address() as AddressInfo).port
})
afterEach(() => { server.close() })

/** Sends a request as it is and returns all bytes of the response. */
function callRaw (head: string): Promise<string> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    const socket = connect(port, '127.0.0.1', () => socket.write(head))
    socket.on('data', chunk => chunks.push(chunk))
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')))
  })
}

test('a caller receives the events byte by byte, and the end of the response', async () => {
  const body = await new Promise<string>((resolve, reject) => {
    request({ port, host: '127.0.0.1' }, response => {
      const chunks: Buffer[] = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('end', () => resolve(Buffer.concat(chunks).toString('latin1')))
    }).on('error', reject).end()
  })
  expect(body).toBe(events.join(''))
})

test('each event is one chunk and one write to the connection, the first one with the head', async () => {
  const response = await callRaw('GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')
  const [, body] = response.split(/\r\n\r\n(.*)/s)
  expect(body).toBe(`${events.map(event => `${event.length.toString(16)}\r\n${event}\r\n`).join('')}0\r\n\r\n`)
  expect(writes.filter(part => part.includes('data: '))).toHaveLength(events.length)
  expect(writes[0]).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*id: 1\n/)
})

test('an HTTP/1.0 caller receives the events without chunks', async () => {
  const response = await callRaw('GET / HTTP/1.0\r\n\r\n')
  expect(response).not.toContain('transfer-encoding')
  expect(response.endsWith(`\r\n\r\n${events.join('')}`)).toBe(true)
})

test('a HEAD request gets no body', async () => {
  const response = await callRaw('HEAD / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')
  expect(response.endsWith('\r\n\r\n')).toBe(true)
  expect(response).not.toContain('data: ')
})
