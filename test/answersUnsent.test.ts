import { connect } from 'node:net'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Log } from '../src/observe/index.ts'
import { CallerListener, closeCauseOf } from '../src/server/index.ts'
import { ForwarderHarness, formatEvent, waitUntil } from './fakes/forwarderWorld.ts'
import { RawCaller, requestHead } from './fakes/rawCaller.ts'

const streamHeaders = 'token-usage: 10,10\r\nprefix-hash: a1:10\r\n'

let harness: ForwarderHarness
let caller: RawCaller
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  const engine = await harness.startEndpoint('engines')
  engine.handleWith((_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
    response.write(formatEvent(1))
  })
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  caller = await RawCaller.connect(host)
})
afterEach(async () => {
  vi.restoreAllMocks()
  caller.close()
  await harness.close()
})

test('a stream that was passed on and is cut is told with its request, its route and the cause of the close', async () => {
  const lines = vi.spyOn(Log.prototype, 'warn')
  const unsent = () => lines.mock.calls.find(([event]) => event === 'answer_unsent')
  caller.write(requestHead('/query/1', { id: 'cut', timeoutMilliseconds: 300, headers: streamHeaders }))
  await waitUntil(() => unsent() !== undefined)
  expect(unsent()?.[1]).toMatchObject({ request: 'cut', route: 'route/query/', cause: 'answer_broken', hasBegun: true, hasEnded: false })
})

test('a response that waits behind another one is told that its connection has closed, and that its caller closed it', async () => {
  const listener = new CallerListener()
  const closed: string[] = []
  listener.serveWith(({ url, socket }, response) => { response.once('close', () => closed.push(`${url} ${closeCauseOf(socket)}`)) })
  const port = Number((await listener.listen('127.0.0.1:0')).split(':')[1])
  const leaving = connect(port, '127.0.0.1')
  leaving.write(['/1', '/2', '/3'].map(path => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`).join(''))
  await waitUntil(() => listener.openResponseCount === 3)
  leaving.resetAndDestroy()
  await waitUntil(() => closed.length > 0 && listener.connections.length === 0)
  listener.server.close()
  expect(closed.sort()).toEqual(['/1', '/2', '/3'].map(path => `${path} caller_left`))
})
