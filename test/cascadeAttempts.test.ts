import { afterEach, beforeEach, expect, test } from 'vitest'
import type { EndpointHandler, EndpointStandIn } from '../platform/standin/index.ts'
import { ForwarderHarness, formatEvent } from './fakes/forwarderWorld.ts'

let harness: ForwarderHarness
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => await harness.close())

const lowConfidence = 5
const highConfidence = 90
const expectedEvents = [1, 2, 3].map(formatEvent).join('')

const streamAt = (confidence: number): EndpointHandler => (request, response) => {
  response.writeHead(200, { 'content-type': 'text/event-stream', confidence })
  for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= 3; id++) response.write(formatEvent(id))
  response.end()
}
const refuse: EndpointHandler = (_request, response) => { response.writeHead(503, { 'not-executed': '1' }).end() }
const breakOff: EndpointHandler = (_request, response) => {
  response.writeHead(200, { 'content-type': 'text/event-stream', confidence: highConfidence })
  response.write(formatEvent(1))
  setTimeout(() => response.socket?.resetAndDestroy(), 20)
}

/** Answers a call from engines whose runs go as scripted, one after the other. */
async function callWith (...script: readonly EndpointHandler[]) {
  const engines: EndpointStandIn[] = []
  const models: unknown[] = []
  while (engines.length < script.length) engines.push(await harness.startEndpoint('engines'))
  for (const engine of engines) {
    engine.handleWith((request, response) => {
      models.push(request.headers.model)
      return script[models.length - 1]?.(request, response)
    })
  }
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  const response = await harness.call(host, '/query/1', { body: 'q', headers: { model: '*', 'token-usage': '600,100', 'deadline-ms': '2000' } })
  return { response, models }
}

test('an answer of low confidence is kept if an attempt was refused before, since none would be left to resume a larger one', async () => {
  const { response, models } = await callWith(refuse, streamAt(lowConfidence), breakOff)
  expect(response).toMatchObject({ status: 200, body: expectedEvents, isComplete: true })
  expect(models).toEqual(['small', 'small'])
})

test('a larger model\'s answer that breaks off after a smaller one was dropped is resumed', async () => {
  const { response, models } = await callWith(streamAt(lowConfidence), breakOff, streamAt(highConfidence))
  expect(response).toMatchObject({ status: 200, body: expectedEvents, isComplete: true })
  expect(models).toEqual(['small', 'large', 'large'])
})

test('a caller whose small answer was dropped gets it again if the larger model is refused', async () => {
  const { response, models } = await callWith(streamAt(lowConfidence), refuse, streamAt(lowConfidence))
  expect(response).toMatchObject({ status: 200, body: expectedEvents, isComplete: true })
  expect(models).toEqual(['small', 'large', 'small'])
})
