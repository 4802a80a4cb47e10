import fc from 'fast-check'
import { afterEach, beforeEach, expect, test } from 'vitest'
import type { EndpointStandIn } from '../platform/standin/index.ts'
import { ForwarderHarness } from './fakes/forwarderWorld.ts'

/** Statuses that promise a caller that its request was not run and never will be. */
const promises = [408, 421, 429, 503]
const statuses = [200, 202, 204, 302, 400, 404, 408, 409, 413, 421, 425, 429, 500, 502, 503, 504]
/** More than an answer may have that is held until it is whole. */
const longBodyBytes = 300_000

const routeKinds = {
  'a request that may run once': { route_type: 'non_idempotent', max_attempts: 2 },
  'an idempotent request': { route_type: 'idempotent', max_attempts: 1 },
  'an idempotent request with a second attempt': { route_type: 'idempotent', max_attempts: 2 },
  'a stream that may run once': { route_type: 'streaming', max_attempts: 2, target_gap_ms: 400 },
  'a stream that may be resumed': { route_type: 'streaming', max_attempts: 2, resumable: true, target_gap_ms: 400 }
} as const

/** How an endpoint answers a request that it may have run. */
interface ScriptedAnswer {
  readonly status: number
  readonly isMarked: boolean
  readonly isSealed: boolean
  readonly isLong: boolean
  /** Whether the first attempt breaks off, so that this is the answer to the second. */
  readonly isAfterLostAttempt: boolean
}

let harness: ForwarderHarness
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => { await harness.close() })

const scriptedAnswers: readonly ScriptedAnswer[] = fc.sample(fc.record({
  status: fc.constantFrom(...statuses), isMarked: fc.boolean(), isSealed: fc.boolean(), isLong: fc.boolean(), isAfterLostAttempt: fc.boolean()
}), { numRuns: 60, seed: 39 })
const plainAnswers = statuses.flatMap(status => [false, true].map(isMarked => ({ status, isMarked, isSealed: true, isLong: false, isAfterLostAttempt: false })))

/** Whether an endpoint states that it has not run a request; an error alone or a success states no such thing. */
function isStatedNotRun ({ status, isMarked }: ScriptedAnswer): boolean {
  return status === 421 || (isMarked && status >= 400)
}

function answerWith (endpoints: readonly EndpointStandIn[], script: ScriptedAnswer): void {
  let runs = 0
  for (const endpoint of endpoints) {
    endpoint.handleWith((_request, response) => {
      if (runs++ === 0 && script.isAfterLostAttempt) return response.socket?.resetAndDestroy() as never
      if (script.isMarked) response.setHeader('not-executed', '1')
      if (!script.isSealed) response.removeHeader('server-seal')
      response.writeHead(script.status)
      response.end(script.status === 204 ? undefined : 'x'.repeat(script.isLong ? longBodyBytes : 10))
    })
  }
}

test.each(Object.entries(routeKinds))('%s that may have run gets no status that promises that it was not run', async (_name, kind) => {
  const scripts = [...plainAnswers, ...scriptedAnswers]
  const routes = scripts.map((_script, index) => ({ name: `route-${index}`, hostname: 'desk.example', prefix: `/${index}/`, timeout_ms: 4_000, target_latency_ms: 2_000, priority: 1, public: false, backend: `service-${index}`, ...kind }))
  const endpoints = await Promise.all(scripts.map(async (script, index) => {
    const pair = [await harness.startEndpoint('ledger', { backend: `service-${index}` }), await harness.startEndpoint('ledger', { backend: `service-${index}` })]
    answerWith(pair, script)
    return pair
  }))
  harness.putConfiguration(1, { routes, backends: scripts.map((_script, index) => ({ name: `service-${index}`, health_path: '/healthz', max_conns: 100 })) })
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  const mayRepeat = kind.route_type === 'idempotent' || 'resumable' in kind
  await Promise.all(scripts.map(async (script, index) => {
    const { status, headers } = await harness.call(host, `/${index}/1`, { headers: { 'deadline-ms': '3000', 'token-usage': '10,10', 'prefix-hash': 'a1:10' } }).catch(() => ({ status: 0, headers: {} as Record<string, string> }))
    const runs = endpoints[index]!.flatMap(({ received }) => received).length
    const mayHaveRun = script.isAfterLostAttempt || !isStatedNotRun(script)
    const seen = { ...script, runs, promise: promises.includes(status) }
    expect(runs, JSON.stringify(seen)).toBeGreaterThan(0)
    if (mayHaveRun && !mayRepeat) expect(runs, JSON.stringify(seen)).toBe(1)
    if (mayHaveRun) expect(seen).toMatchObject({ promise: false })
    if (headers['server-seal'] !== undefined) expect({ ...seen, status }).toMatchObject({ status: script.status })
  }))
})
