import { afterAll, afterEach, beforeAll, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness } from './fakes/forwarderWorld.ts'
import { GatewayProcess, buildProgram, removeProgram } from './fakes/gatewayProcess.ts'
import { pause } from './fakes/rawCaller.ts'
import { SilencingProxy } from './fakes/silencingProxy.ts'

const limits = { memory_mb: 210, max_fds: 2_212, link_mbps: 1_000 }
const linkPort = 8229
const seriesMilliseconds = 10_000
const recoveryMilliseconds = 1_000
const callIntervalMilliseconds = 50
const deadlineMilliseconds = 20_000
/** One to introduce itself, and one in place of a connection that the seed closed because it heard nothing. */
const maximumLinkConnections = 2

const allSeries = [[300, 0.1], [300, 0.9], [1_000, 0.5], [1_000, 0.9]] as const
const series = process.env['LAVENDERDOOR_ALL_STALLS'] === undefined ? allSeries.slice(1, 3) : allSeries

let directory: string
let harness: ForwarderHarness
let proxy: SilencingProxy
let gateway: GatewayProcess
let nextHost = 1

beforeAll(() => { directory = buildProgram() }, 60_000)
afterAll(() => removeProgram(directory))
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  harness.putConfiguration(1)
  await harness.startEndpoint('ledger')
  const seedHost = await harness.startForwarder()
  proxy = await SilencingProxy.start('127.0.0.1', `${seedHost}:${linkPort}`)
  gateway = new GatewayProcess(directory, `127.${100 + process.pid % 50}.${1 + Math.floor(process.pid / 50) % 250}.${nextHost++}`, harness.store.address, limits, [proxy.address])
  await harness.waitUntilReady(gateway.host)
})
afterEach(async () => {
  await gateway.stop(3_000)
  await proxy.close()
  await harness.close()
})

function call (path: string, milliseconds: number): Promise<number> {
  return harness.call(gateway.host, path, { headers: { 'deadline-ms': String(milliseconds) } }).then(({ status }) => status, () => 0)
}

test.each(series)('a gateway whose process is stopped for %i ms again and again, for %f of the time, loses no call and renews no link', async (milliseconds, share) => {
  const endsAt = performance.now() + seriesMilliseconds
  const calls: Promise<number>[] = []
  const calling = (async () => {
    for (; performance.now() < endsAt; await pause(callIntervalMilliseconds)) calls.push(call(`/balance/${calls.length}`, deadlineMilliseconds))
  })()
  while (performance.now() < endsAt) {
    await pause(milliseconds / share - milliseconds)
    await gateway.holdUp(milliseconds)
  }
  const recovered = await call('/balance/last', recoveryMilliseconds)
  await calling
  const statuses = await Promise.all(calls)
  if (process.env['LAVENDERDOOR_SHOW_TIMES'] !== undefined) console.log(JSON.stringify({ milliseconds, share, calls: calls.length, notAnswered: statuses.filter(status => status !== 200), linkConnections: proxy.connectionCount }))
  expect(recovered).toBe(200)
  expect(statuses.filter(status => status !== 200)).toEqual([])
  expect(proxy.connectionCount).toBeLessThanOrEqual(maximumLinkConnections)
}, 3 * seriesMilliseconds)
