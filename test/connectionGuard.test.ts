import { connect, type Socket } from 'node:net'
import { expect, test } from 'vitest'
import { CallerListener, type CloseCause } from '../src/server/index.ts'
import { waitUntil } from './fakes/forwarderWorld.ts'

const answerMilliseconds = 500
/** The guard looks at heads from so many connections on. */
const connectionCount = 32

test('a connection with a running request and a part of a head behind it is not closed under the run when heads take too much memory', async () => {
  const listener = new CallerListener()
  const closed: CloseCause[] = []
  listener.guardConnections({ maximumConnections: 1_000, maximumHeadBytes: 1_000, onClose: cause => closed.push(cause) })
  listener.serveWith((_request, response) => { setTimeout(() => response.end('done'), answerMilliseconds) })
  const port = Number((await listener.listen('127.0.0.1:0')).split(':')[1])
  const open = (): Socket => connect(port, '127.0.0.1').on('error', () => undefined)
  const others = Array.from({ length: connectionCount }, open)
  const caller = open()
  let received = ''
  let hasEnded = false
  caller.on('data', bytes => { received += bytes.toString() }).on('end', () => { hasEnded = true })
  const head = `GET /1 HTTP/1.1\r\nhost: a\r\nfield: ${'x'.repeat(1_000)}\r\n`
  caller.write(`${head}\r\n`)
  await waitUntil(() => listener.openResponseCount === 1)
  for (const socket of [caller, others[0]!]) socket.write(head)
  await waitUntil(() => hasEnded)
  for (const other of others) other.destroy()
  listener.server.close()
  expect(received).toMatch(/^HTTP\/1.1 200 OK\r[^]*done$/)
  expect(closed).toEqual(['heads', 'heads'])
})
