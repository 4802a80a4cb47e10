/** A gateway in front of endpoints that stutter, and the check of what its callers get. */
import { configurationDocument, endpointDocument } from '../../platform/standin/index.ts'
import { type ClientResponse, ForwarderHarness, waitUntil } from './forwarderWorld.ts'
import { Framing, type Stutter, StutteringEndpoints, answerText, plainBody, streamBody, streamParts, stutterPath } from './stutteringEndpoint.ts'

const endpointCount = 3
const common = { hostname: 'desk.example', timeout_ms: 4_000, target_latency_ms: 2_000, priority: 1, max_attempts: 3, public: false, backend: 'ledger' }
const routes = [
  { ...common, name: 'balance', prefix: '/balance/', route_type: 'idempotent' },
  { ...common, name: 'release', prefix: '/release/', route_type: 'non_idempotent' },
  { ...common, name: 'query', prefix: '/query/', route_type: 'streaming', target_gap_ms: 2_000, resumable: true }
]
const engineRoute = { ...common, name: 'engines', prefix: '/engines/', route_type: 'non_idempotent', backend: 'engines' }
const streamPrefix = '/query/'
/** Prefixes of idempotent requests, of requests that run once, and of streams. */
export const prefixes = ['/balance/', '/release/', streamPrefix] as const

/** A whole answer to a request. */
export function wholeAnswer (id: string, prefix: string, framing: Framing): string {
  return answerText(id, framing, prefix === streamPrefix ? streamParts : [plainBody])
}

export class StutteringWorld {
  readonly harness: ForwarderHarness
  readonly endpoints = new StutteringEndpoints()
  #host = ''

  private constructor (harness: ForwarderHarness) {
    this.harness = harness
  }

  static async start (): Promise<StutteringWorld> {
    const world = new StutteringWorld(await ForwarderHarness.start())
    await world.#startGateway()
    return world
  }

  async #startGateway (): Promise<void> {
    const { endpoints, harness } = this
    for (let index = 0; index < endpointCount; index++) harness.store.put('servers', `i-stutter-${index}`, endpointDocument('ledger', await endpoints.start(), { slots: 200 }))
    this.putConfiguration(1)
    this.#host = await harness.startForwarder()
    await harness.waitUntilReady(this.#host)
  }

  putConfiguration (version: number): void {
    this.harness.putConfiguration(version, { routes: [...routes, engineRoute], backends: configurationDocument(version).backends })
  }

  /** Stops the gateway as planned. */
  stopGateway (): Promise<void> {
    return this.harness.stopForwarder(this.#host)
  }

  async close (): Promise<void> {
    await this.harness.close()
    await this.endpoints.close()
  }

  /** Sends a request whose answer stutters; undefined if its connection was closed. */
  ask (prefix: string, id: string, stutter: Stutter): Promise<ClientResponse | undefined> {
    const headers = { 'attempt-id': id, 'deadline-ms': '4000', 'token-usage': '10,10', 'prefix-hash': `${Buffer.from(id).toString('hex')}:10` }
    return this.harness.call(this.#host, stutterPath(prefix, stutter), { headers }).catch(() => undefined)
  }

  /** Sends a request to the service whose endpoints a test adds; undefined if its connection was closed. */
  async askEngines (id: string): Promise<ClientResponse | undefined> {
    await waitUntil(async () => (await this.harness.call(this.#host, '/engines/', { method: 'GET', headers: { 'attempt-id': `${id}-first` } })).status !== 503)
    return this.harness.call(this.#host, '/engines/', { headers: { 'attempt-id': id } }).catch(() => undefined)
  }

  /** How often endpoints got a request. */
  runsOf (id: string): number {
    return this.endpoints.arrivals.filter(arrival => arrival === id).length
  }
}

/** What is wrong with a response; undefined if it is the endpoint's whole answer with one head, breaks off before its end, or is no success. */
export function faultOf (id: string, prefix: string, response: ClientResponse | undefined): string | undefined {
  if (response === undefined || response.status >= 400) return undefined
  const { headers, body, isComplete } = response
  const isOneHead = headers['attempt-id'] === id && headers['server-seal'] === `s-${id}` && headers['x-note'] === 'any text' && headers.confidence === '90' && headers['content-type'] === 'text/plain'
  if (!isOneHead) return `${id}: two heads: ${JSON.stringify(headers)}`
  const wholeBody = prefix === streamPrefix ? streamBody : plainBody
  const isRight = isComplete ? body === wholeBody : wholeBody.startsWith(body)
  return isRight ? undefined : `${id}: ${body.length} bytes of body, ${wholeBody.length} are right`
}
