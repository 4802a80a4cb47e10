import { expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { PlatformHeaders } from '../platform/headers.ts'
import { createPool } from '../src/httpClient/index.ts'
import { startScriptedServer } from './fakes/scriptedServer.ts'

const head = { 'attempt-id': 'a', 'server-seal': 's', confidence: '90', 'content-type': 'text/plain', 'content-length': '2', 'retry-after': '1', 'cold-ms': '10', 'not-executed': '1' }
const codec = new PlatformHeaders()

test.each(Object.keys(head))('a head in which %s stands twice belongs to no attempt', name => {
  expect(codec.readResponseHead(head).attemptId).toBe('a')
  expect(codec.readResponseHead({ ...head, [name]: ['a', 'a'] }).attemptId).toBeUndefined()
})

test('a repeated list of connection options does not fail the request, and names headers that are not passed on', () => {
  const headers = { connection: ['x-first', 'X-Second'], 'x-first': '1', 'x-second': '2', 'x-third': '3' }
  expect(codec.writeResponseHeaders(headers as never)).toEqual({ 'x-third': '3' })
})

test('a caller that names fields as connection options does not hide from the endpoint which request and model is meant', () => {
  const named = { 'attempt-id': 'a', model: 'small', 'token-usage': '600,100', 'prefix-hash': 'a1:500' }
  const headers = { ...named, connection: Object.keys(named).join(', ') }
  expect(Object.fromEntries(codec.writeAttemptHeaders(headers, { timeoutMilliseconds: 100, endpointIdentity: 'i-1' } as never))).toMatchObject(named)
})

test.each([
  ['a header value', 'HTTP/1.1 200 OK\r\nx-note: tHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'],
  ['the reason phrase', 'HTTP/1.1 200 OHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok']
])('the store and peers are not believed whose head contains that of another answer in %s', async (_name, reply) => {
  const server = await startScriptedServer(socket => socket.write(reply))
  const pool = createPool(`http://${server.address}`, { clock: new SystemClock(), connectTimeoutMilliseconds: 1_000 })
  await expect(pool.request({ method: 'GET', path: '/' })).rejects.toThrow('contains that of another')
  await pool.destroy()
  await server.close()
})
