import { afterAll, afterEach, beforeAll, beforeEach, expect, test } from 'vitest'
import { type EndpointStandIn, configurationDocument } from '../platform/standin/index.ts'
import { ForwarderHarness, formatEvent } from './fakes/forwarderWorld.ts'
import { GatewayProcess, allocateProcessHost, buildProgram, removeProgram } from './fakes/gatewayProcess.ts'
import { RawCaller, pause, requestHead } from './fakes/rawCaller.ts'

const limits = { memory_mb: 210, max_fds: 2_212, link_mbps: 1_000 }
const megabyte = 1024 * 1024
const callerCount = 6
/** More than the kernel takes for a caller that reads late. */
const answerBytes = 60_000
const once = (caller: number) => [1, 2, 3, 4].map(number => requestHead(`/release/${number}`, { id: `once-${caller}-${number}` })).join('')

let directory: string
let harness: ForwarderHarness
let ledger: EndpointStandIn
let gateway: GatewayProcess
beforeAll(() => { directory = buildProgram() }, 60_000)
afterAll(() => removeProgram(directory))
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  ledger = await harness.startEndpoint('ledger', { slots: 100 })
  ledger.handleWith((_request, response) => { response.end('x'.repeat(answerBytes)) })
  const engine = await harness.startEndpoint('engines', { slots: 100 })
  engine.handleWith(async (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
    for (let event = 1; event < 100 && !response.destroyed; event++) {
      response.write(formatEvent(event))
      await pause(50)
    }
  })
  harness.putConfiguration(1, { routes: configurationDocument(1).routes.map(route => ({ ...route, timeout_ms: 20_000 })) })
  gateway = new GatewayProcess(directory, allocateProcessHost(), harness.store.address, limits)
  await harness.waitUntilReady(gateway.host)
})
afterEach(async () => {
  await gateway.stop(3_000)
  await harness.close()
})

/** Reads nothing until the end, and resolves to the number of whole answers of once-only calls. */
async function readLate (behave: (caller: RawCaller) => Promise<void>): Promise<number> {
  const caller = await RawCaller.connect(gateway.host)
  caller.pause()
  await behave(caller)
  await pause(200)
  caller.resume()
  await pause(800)
  caller.close()
  return caller.responses.filter(({ status, bodyLength }) => status === 200 && bodyLength === answerBytes).length
}

test('answers that left before a stream was cut reach a caller that reads late and has sent a further request', async () => {
  const whole = await Promise.all(Array.from({ length: callerCount }, (_, number) => readLate(async caller => {
    caller.write(once(number) + requestHead('/query/cut', { id: `cut-${number}`, timeoutMilliseconds: 900, headers: 'token-usage: 10,10\r\nprefix-hash: a1:10\r\n' }))
    await pause(1_600)
    caller.write(requestHead('/balance/late', { id: `late-${number}` }))
  })))
  expect(whole).toEqual(Array(callerCount).fill(4))
  expect(ledger.received).toHaveLength(4 * callerCount)
}, 30_000)

test('answers that left before the connection is closed for a body that was refused reach a caller that reads late', async () => {
  const whole = await Promise.all(Array.from({ length: callerCount }, (_, number) => readLate(async caller => {
    caller.write(once(number) + requestHead('/nowhere', { id: `refused-${number}`, bodyLength: 40 * megabyte }))
    for (let written = 0; written < 6; written++) caller.write('x'.repeat(megabyte))
    await pause(1_300)
  })))
  expect(whole).toEqual(Array(callerCount).fill(4))
}, 30_000)
