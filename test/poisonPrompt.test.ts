import { afterEach, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness, formatEvent, waitUntil } from './fakes/forwarderWorld.ts'
import type { EndpointHandler, EndpointStandIn, ReceivedRequest } from '../platform/standin/index.ts'

let harness: ForwarderHarness
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => await harness.close())

const systemPart = 'a1:400'
const poisonPart = 'dead:150'
const engineCount = 8
const crashDelayMilliseconds = 40
const restartMilliseconds = 400
/** All gateways that can be reached know of a prompt part that crashes engines within this time after its fifth crash. */
const propagationBoundMilliseconds = 4_000
const maximumLaterArrivals = 3
const laterRequests = 12
let nextLastPart = 1

/** Engines that crash shortly after they began to answer a prompt with the poison part, and start again under another identity. */
class CrashingEngines {
  readonly poisonArrivals: ReceivedRequest[] = []
  crashes = 0
  /** Whether the first answer to the poison part ends with its connection, as if it were whole. */
  answersFirstWithoutFrame = false

  async start (): Promise<void> {
    const engine = await harness.startEndpoint('engines')
    engine.handleWith(this.#handlerOf(engine))
  }

  #handlerOf (engine: EndpointStandIn): EndpointHandler {
    return async (request, response) => {
      const isPoison = String(request.headers['prefix-hash']).includes(poisonPart)
      if (isPoison) this.poisonArrivals.push(request)
      if (isPoison && this.answersFirstWithoutFrame && this.poisonArrivals.length === 1) {
        response.socket?.end(`HTTP/1.1 200 OK\r\nattempt-id: ${request.headers['attempt-id']}\r\nserver-seal: s\r\nconfidence: 90\r\nconnection: close\r\n\r\n${formatEvent(1)}`)
        return
      }
      response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
      response.write(formatEvent(1))
      if (!isPoison) {
        response.end(formatEvent(2))
        return
      }
      await new Promise(resolve => setTimeout(resolve, crashDelayMilliseconds))
      await this.#crash(engine)
    }
  }

  async #crash (engine: EndpointStandIn): Promise<void> {
    this.crashes++
    await engine.close()
    await new Promise(resolve => setTimeout(resolve, restartMilliseconds))
    harness.store.delete('servers', engine.identity)
    await this.start()
  }
}

/** Each request has a body of its own, as prompts that differ have; with the same one it would be a repeat. */
function callWith (host: string, parts: readonly string[]) {
  const lastPart = nextLastPart++
  const promptParts = [...parts, `f${lastPart}:50`].join(',')
  return harness.call(host, '/query/1', { body: `q${lastPart}`, headers: { model: 'small', 'token-usage': '600,100', 'prefix-hash': promptParts, 'deadline-ms': '2000' } })
}

async function startFleet (gatewayCount: number): Promise<{ readonly hosts: readonly string[], readonly engines: CrashingEngines }> {
  harness.putConfiguration(1)
  const engines = new CrashingEngines()
  for (let index = 0; index < engineCount; index++) await engines.start()
  const first = await harness.startForwarder()
  const hosts = [first]
  while (hosts.length < gatewayCount) hosts.push(await harness.startForwarder({ seeds: [`${first}:8229`] }))
  for (const host of hosts) await harness.waitUntilReady(host)
  return { hosts, engines }
}

test('an answer that ends with its connection does not clear a prompt part that crashes engines', async () => {
  const { hosts, engines } = await startFleet(2)
  engines.answersFirstWithoutFrame = true
  for (let index = 0; index < 8; index++) await callWith(hosts[index % 2]!, [systemPart, poisonPart]).catch(() => undefined)
  await new Promise(resolve => setTimeout(resolve, propagationBoundMilliseconds))
  const arrivalsBefore = engines.poisonArrivals.length
  for (let index = 0; index < laterRequests; index++) await callWith(hosts[index % 2]!, [systemPart, poisonPart]).catch(() => undefined)
  expect(engines.poisonArrivals.length - arrivalsBefore).toBeLessThanOrEqual(maximumLaterArrivals)
})

test('a prompt part that crashes engines reaches no further ones once five have crashed, from any gateway', async () => {
  const { hosts, engines } = await startFleet(4)
  const hostAt = (index: number) => hosts[index % hosts.length]!
  for (let index = 0; index < 8; index++) expect((await callWith(hostAt(index), [systemPart])).isComplete).toBe(true)
  for (let index = 0; index < 12; index++) await callWith(hostAt(index), [systemPart, poisonPart]).catch(() => undefined)
  await new Promise(resolve => setTimeout(resolve, propagationBoundMilliseconds))
  const arrivalsBefore = engines.poisonArrivals.length
  await waitUntil(async () => (await callWith(hosts[0]!, [systemPart])).status === 200)
  let soundAnswers = 0
  for (let index = 0; index < laterRequests; index++) {
    const [poisoned, sound] = await Promise.all([callWith(hostAt(index), [systemPart, poisonPart]).catch(() => undefined), callWith(hostAt(index), [systemPart])])
    if (sound.status === 200 && sound.isComplete) soundAnswers++
    expect(poisoned?.status === 200 && poisoned.isComplete).toBe(false)
  }
  expect(engines.poisonArrivals.length - arrivalsBefore).toBeLessThanOrEqual(maximumLaterArrivals)
  expect(soundAnswers).toBe(laterRequests)
})
