import { type Server, connect, createServer } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness, formatEvent } from './fakes/forwarderWorld.ts'
import { endpointDocument } from '../platform/standin/index.ts'
import { EndpointLiveness } from '../src/gateway/index.ts'
import { ConnectionOutcome } from '../src/httpClient/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

let harness: ForwarderHarness
let front: Server | undefined
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => {
  front?.close()
  await harness.close()
})

test.each([0, 50, 10_000])('a response that only its connection ended is not taken for whole %i ms after its deadline without a look whether its endpoint is gone', async milliseconds => {
  const clock = new ManualClock()
  const probe = async () => {
    await clock.sleep(5)
    return ConnectionOutcome.Refused
  }
  const liveness = new EndpointLiveness({ probe, checkMilliseconds: 450, loads: { recordAcceptance: () => undefined }, registry: { isServing: () => true }, clock })
  const endpoint = { identity: 'e', bornAt: 1, service: 'ledger', address: '127.0.0.1:1', place: { region: 'r', dataCentre: 'd' }, version: 'v1', isDraining: false, models: [] }
  const hasEnded = liveness.hasEnded(endpoint, clock.now() - milliseconds)
  await clock.advance(100)
  expect(await hasEnded).toBe(true)
})

test('an engine that is silent is not asked by new connections while its stream could go on nowhere else', async () => {
  const engine = await harness.startEndpoint('engines')
  let connections = 0
  front = createServer(caller => {
    connections++
    const [host, port] = engine.address.split(':')
    const back = connect({ host, port: Number(port) })
    caller.pipe(back).on('error', () => undefined)
    back.pipe(caller).on('error', () => undefined)
  })
  const port = await new Promise<number>(resolve => front!.listen(0, '127.0.0.1', () => resolve((front!.address() as { port: number }).port)))
  harness.store.put('servers', engine.identity, endpointDocument('engines', `127.0.0.1:${port}`))
  engine.handleWith((_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
    response.write(formatEvent(1))
    setTimeout(() => { response.end(formatEvent(2)) }, 1_600)
  })
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  const response = await harness.call(host, '/query/1', { headers: { 'deadline-ms': '2000', 'token-usage': '10,10', 'prefix-hash': 'a:10' } })
  expect(response.isComplete).toBe(true)
  expect(connections).toBe(1)
})
