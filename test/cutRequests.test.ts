import { connect } from 'node:net'
import { expect, test } from 'vitest'
import { cutResponse } from '../src/gateway/responseFraming.ts'
import { CallerListener, CloseCause, watchCutRequests } from '../src/server/index.ts'
import { waitUntil } from './fakes/forwarderWorld.ts'

test('requests that this process cuts are reported with their state and the cause, and those that their caller leaves are not', async () => {
  const listener = new CallerListener()
  const cuts: unknown[] = []
  watchCutRequests(listener, (cause, requests) => cuts.push({ cause, ...requests }))
  listener.serveWith((request, response) => { if (request.url === '/2') cutResponse(response, CloseCause.Failure) })
  const port = Number((await listener.listen('127.0.0.1:0')).split(':')[1])
  const leaving = connect(port, '127.0.0.1')
  leaving.write('GET /1 HTTP/1.1\r\nhost: a\r\n\r\n')
  await waitUntil(() => listener.openResponseCount === 1)
  leaving.resetAndDestroy()
  await waitUntil(() => listener.connections.length === 0)
  const cut = connect(port, '127.0.0.1').on('error', () => undefined)
  cut.write('GET /1 HTTP/1.1\r\nhost: a\r\n\r\nPOST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab')
  await waitUntil(() => listener.openResponseCount === 2)
  listener.connections[0]?.socket.destroy()
  await waitUntil(() => cuts.length > 0)
  listener.server.close()
  expect(cuts).toEqual([{ cause: CloseCause.Failure, arriving: 1, unanswered: 1, begun: 0, waiting: 0 }])
})
