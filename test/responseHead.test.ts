import { expect, test } from 'vitest'
import { createPool } from '../src/httpClient/index.ts'
import { startScriptedServer } from './fakes/scriptedServer.ts'

test.each([
  ['a header value', 'HTTP/1.1 200 OK\r\nx-note: tHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'],
  ['the reason phrase', 'HTTP/1.1 200 OHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok']
])('the store and peers are not believed whose head contains that of another answer in %s', async (_name, reply) => {
  const server = await startScriptedServer(socket => socket.write(reply))
  const pool = createPool(`http://${server.address}`, {})
  await expect(pool.request({ method: 'GET', path: '/' })).rejects.toThrow('contains that of another')
  await pool.destroy()
  await server.close()
})
