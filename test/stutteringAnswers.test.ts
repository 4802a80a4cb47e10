import { afterAll, beforeAll, expect, test } from 'vitest'
import { configurationDocument, endpointDocument } from '../platform/standin/index.ts'
import { type ClientResponse, ForwarderHarness } from './fakes/forwarderWorld.ts'
import { Framing, type Stutter, StutteringEndpoints, answerText, plainBody, streamBody, streamParts, stutterPath } from './fakes/stutteringEndpoint.ts'

const concurrency = 24
const endpointCount = 3
const common = { hostname: 'desk.example', timeout_ms: 4_000, target_latency_ms: 2_000, priority: 1, max_attempts: 3, public: false, backend: 'ledger' }
const routes = [
  { ...common, name: 'balance', prefix: '/balance/', route_type: 'idempotent' },
  { ...common, name: 'release', prefix: '/release/', route_type: 'non_idempotent' },
  { ...common, name: 'query', prefix: '/query/', route_type: 'streaming', target_gap_ms: 2_000, resumable: true }
]
const bodies: Readonly<Record<string, string>> = { '/balance/': plainBody, '/release/': plainBody, '/query/': streamBody }

let harness: ForwarderHarness
let endpoints: StutteringEndpoints
let host: string
beforeAll(async () => {
  harness = await ForwarderHarness.start()
  endpoints = new StutteringEndpoints()
  for (let index = 0; index < endpointCount; index++) harness.store.put('servers', `i-stutter-${index}`, endpointDocument('ledger', await endpoints.start(), { slots: 200 }))
  harness.putConfiguration(1, { routes, backends: configurationDocument(1).backends })
  host = await harness.startForwarder()
  await harness.waitUntilReady(host)
})
afterAll(async () => {
  await harness.close()
  await endpoints.close()
})

/** Sends a request whose answer stutters; undefined if its connection was closed. */
async function ask (prefix: string, id: string, stutter: Stutter): Promise<ClientResponse | undefined> {
  const headers = { 'attempt-id': id, 'deadline-ms': '4000', 'token-usage': '10,10', 'prefix-hash': `${Buffer.from(id).toString('hex')}:10` }
  return harness.call(host, stutterPath(prefix, stutter), { headers }).catch(() => undefined)
}

/** What is wrong with a success; undefined if it is the endpoint's whole answer with one head, or is no success. */
function faultOf (id: string, prefix: string, response: ClientResponse | undefined): string | undefined {
  if (response === undefined || response.status >= 400 || !response.isComplete) return undefined
  const { headers, body } = response
  const isOneHead = headers['attempt-id'] === id && headers['server-seal'] === `s-${id}` && headers['x-note'] === 'any text' && headers.confidence === '90' && headers['content-type'] === 'text/plain'
  if (!isOneHead) return `${id}: two heads: ${JSON.stringify(headers)}`
  return body === bodies[prefix] ? undefined : `${id}: ${body.length} bytes of body, ${bodies[prefix]?.length} are right`
}

/** Runs a job for each number, several at a time. */
async function forEachBelow (limit: number, job: (index: number) => Promise<void>): Promise<void> {
  let next = 0
  await Promise.all(Array.from({ length: concurrency }, async () => {
    while (next < limit) await job(next++)
  }))
}

const variants = Object.keys(bodies).flatMap(prefix => Object.values(Framing).flatMap(framing => [undefined, 3].map(pauseMilliseconds => ({ prefix, framing, pauseMilliseconds }))))

interface Variant {
  readonly prefix: string
  readonly framing: Framing
  readonly pauseMilliseconds: number | undefined
}

/** Cuts answers after each of a number of bytes, and returns what is wrong with those that callers take for whole. */
async function cutEach (variant: string, { prefix, framing, pauseMilliseconds }: Variant, cutsOf: (answer: string) => readonly [number, number]): Promise<readonly string[]> {
  const idOf = (cut: number) => `${variant}-${String(cut).padStart(4, '0')}`
  const [firstCut, endCut] = cutsOf(answerText(idOf(0), framing, prefix === '/query/' ? streamParts : [plainBody]))
  const faults: string[] = []
  await forEachBelow(endCut - firstCut, async index => {
    const cut = firstCut + index
    const fault = faultOf(idOf(cut), prefix, await ask(prefix, idOf(cut), { framing, cut, pauseMilliseconds }))
    if (fault !== undefined) faults.push(fault)
  })
  expect(new Set(endpoints.arrivals.filter(id => id.startsWith(variant))).size).toBe(endCut - firstCut)
  return faults
}

test.each(variants)('a head that stops anywhere is not passed on joined with that of a second answer ($prefix, framed by $framing, $pauseMilliseconds ms behind)', async variant => {
  expect(await cutEach(`head-${variants.indexOf(variant)}`, variant, answer => [0, answer.indexOf('\r\n\r\n') + 4])).toEqual([])
}, 60_000)
