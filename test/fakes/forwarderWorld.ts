/** Runs forwarders against a stand-in of the users' platform, each on a loopback address of its own. */
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { type IncomingHttpHeaders, request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { readBootFile } from '../../platform/index.ts'
import { EndpointStandIn, StoreStandIn, bootDocument, configurationDocument, endpointDocument } from '../../platform/standin/index.ts'
import { Forwarder } from '../../src/forwarder/index.ts'
import { CallerListener } from '../../src/server/index.ts'

export interface ClientResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  /** Whether the response ended as its framing requires, rather than by a broken connection. */
  readonly isComplete: boolean
}

export interface CallOptions {
  readonly host?: string
  readonly method?: string
  readonly body?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly signal?: AbortSignal
}

export interface ForwarderOptions {
  readonly seeds?: readonly string[]
  readonly storeAddress?: string
  readonly graceSeconds?: number
  /** Other bounds of the boot file. */
  readonly bounds?: Record<string, number>
}

let nextHostNumber = 20
let nextEndpointNumber = 1

const lastHostNumber = 250

/** Each forwarder gets a new loopback address, since its ports are fixed; the process ID keeps test processes apart. */
function allocateLoopbackHost (): string {
  if (nextHostNumber > lastHostNumber) throw new Error('a test file starts too many forwarders')
  return `127.${50 + process.pid % 150}.${1 + Math.floor(process.pid / 150) % 250}.${nextHostNumber++}`
}

export class ForwarderHarness {
  readonly store: StoreStandIn
  readonly #directory: string
  readonly #endpoints: EndpointStandIn[] = []
  readonly #forwarders: { readonly host: string, readonly forwarder: Forwarder }[] = []
  readonly #stops = new Map<string, Promise<void>>()

  private constructor (store: StoreStandIn, directory: string) {
    this.store = store
    this.#directory = directory
  }

  static async start (): Promise<ForwarderHarness> {
    const store = await StoreStandIn.start('127.0.0.1')
    return new ForwarderHarness(store, await mkdtemp(join(tmpdir(), 'lavenderdoor-forwarder-')))
  }

  /**
   * Starts a forwarder.
   *
   * @returns the host that it listens on
   */
  async startForwarder ({ seeds = [], storeAddress = this.store.address, graceSeconds = 1.5, bounds }: ForwarderOptions = {}): Promise<string> {
    const host = allocateLoopbackHost()
    const path = this.#bootFilePath(host)
    await writeFile(path, JSON.stringify(bootDocument(`edge-${host}`, host, storeAddress, seeds, graceSeconds, bounds)))
    const bootFile = (await readBootFile(path)).unwrap()
    const forwarder = new Forwarder(path, { boot: bootFile, secret: 'secret of a test', listener: new CallerListener() })
    ;(await forwarder.start()).unwrap()
    this.#forwarders.push({ host, forwarder })
    return host
  }

  /** Changes members of a forwarder's boot file, which it reads again when it is told to, or in time. */
  async changeBootFile (host: string, changes: Record<string, unknown>): Promise<void> {
    const document = JSON.parse(await readFile(this.#bootFilePath(host), 'utf8'))
    await writeFile(this.#bootFilePath(host), JSON.stringify({ ...document, ...changes }))
  }

  #bootFilePath (host: string): string {
    return join(this.#directory, `${host}.json`)
  }

  /** Starts an endpoint and writes its registration to the store. */
  async startEndpoint (service: 'ledger' | 'engines', overrides: Record<string, unknown> = {}): Promise<EndpointStandIn> {
    const endpoint = await EndpointStandIn.start('127.0.0.1', `i-${nextEndpointNumber++}`)
    this.#endpoints.push(endpoint)
    this.store.put('servers', endpoint.identity, endpointDocument(service, endpoint.address, overrides))
    return endpoint
  }

  putConfiguration (version: number, overrides: Record<string, unknown> = {}): void {
    this.store.put('op', 'config', configurationDocument(version, overrides))
  }

  forwarderAt (host: string): Forwarder {
    const found = this.#forwarders.find(entry => entry.host === host)
    if (found === undefined) throw new Error(`no forwarder at ${host}`)
    return found.forwarder
  }

  /** Stops a forwarder as planned; further calls wait for the same stop. */
  stopForwarder (host: string): Promise<void> {
    const stop = this.#stops.get(host) ?? this.forwarderAt(host).stop()
    this.#stops.set(host, stop)
    return stop
  }

  /** Waits until the readiness probe of a forwarder succeeds. */
  async waitUntilReady (host: string): Promise<void> {
    await waitUntil(async () => (await this.fetchStatus(`http://${host}:8220/v1/readyz`)) === 200)
  }

  /** The HTTP status of a GET, or 0 if the connection failed. */
  async fetchStatus (url: string): Promise<number> {
    try {
      return (await fetch(url)).status
    } catch {
      return 0
    }
  }

  /** Sends a request as an external client does, on a new connection. */
  call (host: string, path: string, options: CallOptions = {}): Promise<ClientResponse> {
    const { method = 'POST', body = '', headers = {}, signal } = options
    return new Promise((resolve, reject) => {
      const request = httpRequest({
        host,
        port: 8227,
        path,
        method,
        signal,
        agent: false,
        headers: {
          host: 'desk.example', authorization: 'Bearer good-key', 'attempt-id': `a-${Math.random().toString(16).slice(2)}`, 'deadline-ms': '1500', ...(body === '' || headers['transfer-encoding'] !== undefined ? {} : { 'content-length': Buffer.byteLength(body) }), ...headers
        }
      }, response => {
        const chunks: Buffer[] = []
        const finish = () => resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString(), isComplete: response.complete })
        response.on('data', chunk => chunks.push(chunk))
        response.on('end', finish)
        response.on('error', finish)
      })
      request.on('error', reject)
      request.end(body)
    })
  }

  async close (): Promise<void> {
    await Promise.all(this.#endpoints.map(endpoint => endpoint.close().catch(() => undefined)))
    await Promise.all(this.#forwarders.map(({ host }) => this.stopForwarder(host)))
    await this.store.close()
    await rm(this.#directory, { recursive: true })
  }
}

const pollIntervalMilliseconds = 20
const maximumPolls = 500

/** Polls until a condition holds; throws after 10 s. */
export async function waitUntil (condition: () => boolean | Promise<boolean>): Promise<void> {
  for (let poll = 0; poll < maximumPolls; poll++) {
    if (await condition()) return
    await new Promise(resolve => setTimeout(resolve, pollIntervalMilliseconds))
  }
  throw new Error('the condition did not hold within 500 polls, 20 ms apart')
}

/** A server-sent event with an ID. */
export function formatEvent (id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`
}
