/** Compares the reported delivery state of service calls with what the service ran, over a faulty network. */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { EndpointDescription } from '../src/contract/index.ts'
import { HttpServiceClient, DeliveryState, type ServiceCall } from '../src/endpoint/index.ts'
import { type ExchangeFault, FakeHttpNetwork, type NetworkReply, type NetworkServer } from './fakes/fakeNetwork.ts'
import { ManualClock } from './fakes/manualClock.ts'

const address = '127.0.0.1:1'
const endpoint: EndpointDescription = { name: 's', kind: 'service', address, place: { region: 'r', dataCentre: 'd' }, versions: [], service: 'ledger', checksFencing: false }
const refund: ServiceCall = { method: 'POST', path: '/refunds', contentType: undefined, body: Buffer.from('{}'), idempotencyKey: 'key', traceParent: undefined }
const answer = '{"refunded":true}'
const inactivityMilliseconds = 800
const settlingMilliseconds = 60_000

class CountingService implements NetworkServer {
  readonly runTimes: number[] = []
  readonly #clock: ManualClock
  readonly #workMilliseconds: number

  constructor (clock: ManualClock, workMilliseconds: number) {
    this.#clock = clock
    this.#workMilliseconds = workMilliseconds
  }

  handleRequest (): NetworkReply {
    this.runTimes.push(this.#clock.now())
    return { status: 200, headers: { 'content-type': 'application/json', 'content-length': String(answer.length) }, chunks: this.#bodyChunks() }
  }

  async * #bodyChunks (): AsyncGenerator<string, void, undefined> {
    await this.#clock.sleep(this.#workMilliseconds)
    yield answer.slice(0, 5)
    yield answer.slice(5)
  }
}

const rarelyTrueArbitrary = fc.integer({ min: 0, max: 7 }).map(draw => draw === 0)
const scheduleArbitrary = fc.record({
  isRefused: rarelyTrueArbitrary,
  isRequestLost: rarelyTrueArbitrary,
  connectMilliseconds: fc.constantFrom(0, 5, 300, 900),
  requestDelayMilliseconds: fc.constantFrom(0, 0, 50, 900),
  startsTwice: fc.boolean(),
  endAt: fc.constantFrom(-1, -1, -1, 0, 1),
  end: fc.constantFrom('cut' as const, 'silent' as const),
  work: fc.constantFrom(0, 20, 500, 2_000),
  sendBefore: fc.constantFrom(-1, 4, 250, 5_000, 5_000, 5_000),
  cancelAfter: fc.constantFrom(0, 3, 200, 700, 5_000, 5_000, 5_000)
})

test('a call reported as not sent never runs, and no call runs twice or is sent after its permission to send ends', async () => {
  const outcomes = { answered: 0, notSent: 0, possiblySent: 0 }
  await fc.assert(fc.asyncProperty(scheduleArbitrary, async schedule => {
    const clock = new ManualClock()
    const network = new FakeHttpNetwork(clock)
    const service = new CountingService(clock, schedule.work)
    network.serve(address, service)
    const exchangeFault: ExchangeFault = { ...schedule, faultForChunk: (text, index) => index === schedule.endAt ? { deliveredChunks: [text.slice(0, 2)], connectionFault: schedule.end } : { deliveredChunks: [text] } }
    network.script = () => exchangeFault
    const client = new HttpServiceClient({ clock, connectTimeoutMilliseconds: 500, inactivityTimeoutMilliseconds: inactivityMilliseconds, connectionFactory: network })
    const cancellation = new AbortController()
    clock.sleep(schedule.cancelAfter).then(() => cancellation.abort()).catch(() => undefined)
    const sendBefore = clock.now() + schedule.sendBefore
    const pendingCall = client.call(endpoint, refund, () => clock.now() < sendBefore, cancellation.signal)
    await clock.advance(settlingMilliseconds)
    const outcome = await pendingCall
    expect(service.runTimes.length).toBeLessThanOrEqual(1)
    expect(network.duplicateRequests).toBe(0)
    for (const at of service.runTimes) expect(at - schedule.requestDelayMilliseconds).toBeLessThan(sendBefore)
    if (outcome.ok) {
      outcomes.answered++
      expect(service.runTimes).toHaveLength(1)
      expect(Buffer.from(outcome.val.body).toString('utf8')).toBe(answer)
    } else if (outcome.val.delivery === DeliveryState.NotSent) {
      outcomes.notSent++
      expect(service.runTimes).toHaveLength(0)
    } else {
      outcomes.possiblySent++
    }
  }), { seed: 22, numRuns: 600 })
  for (const count of Object.values(outcomes)) expect(count).toBeGreaterThan(30)
})
