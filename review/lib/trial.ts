/**
 * What the script cases share: a small deployment of real gateway processes on loopback addresses, in front of
 * stand-ins of the store and of endpoints, and the record of what was sent, answered and run.
 */
import { type ChildProcess, spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse } from 'smol-toml'
import { EndpointStandIn, StoreStandIn, bootDocument, configurationDocument, endpointDocument } from '../../platform/standin/index.ts'

/** Exit codes of a script. */
export const Verdict = {
  Held: 0,
  Broken: 1,
  CouldNotRun: 2
} as const
export type Verdict = typeof Verdict[keyof typeof Verdict]

const startTimeoutMilliseconds = 15_000
const trialTimeoutMilliseconds = 110_000
const pollIntervalMilliseconds = 50
const graceSeconds = 8
const unitsPerByte = 250

interface GatewayRole {
  readonly run: string
  readonly env: Readonly<Record<string, string>>
}

/** Whether the script is to cause its disruption; not with TROUBLE=0. */
export const hasTrouble = process.env.TROUBLE !== '0'

export function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** One gateway process. */
export interface Gateway {
  readonly host: string
  readonly process: ChildProcess
}

/** A deployment of one case. */
export class Trial {
  readonly store: StoreStandIn
  readonly #directory = mkdtempSync(join(tmpdir(), 'lavenderdoor-review-'))
  readonly #gateways: Gateway[] = []
  readonly #endpoints: EndpointStandIn[] = []
  readonly #lines: string[] = []
  readonly #startedAt = performance.now()
  readonly #network = `127.${1 + Math.floor(Math.random() * unitsPerByte)}.${1 + Math.floor(Math.random() * unitsPerByte)}`

  private constructor (store: StoreStandIn) {
    this.store = store
  }

  /** Runs a case, ends all that it started, writes its record and exits with its verdict. */
  static async run (recordPath: string, body: (trial: Trial) => Promise<Verdict>): Promise<never> {
    const trial = new Trial(await StoreStandIn.start('127.0.0.1'))
    const verdict = await Promise.race([trial.#verdictOf(body), pause(trialTimeoutMilliseconds).then(() => Verdict.CouldNotRun)])
    trial.record(`verdict: ${verdict} (0 held, 1 broken, 2 could not run), trouble: ${hasTrouble}`)
    await trial.#close()
    writeFileSync(recordPath, `${trial.#lines.join('\n')}\n`)
    process.stdout.write(`${trial.#lines.at(-1)}\n`)
    process.exit(verdict)
  }

  async #verdictOf (body: (trial: Trial) => Promise<Verdict>): Promise<Verdict> {
    try {
      return await body(this)
    } catch (error) {
      this.record(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`)
      return Verdict.CouldNotRun
    }
  }

  record (line: string): void {
    this.#lines.push(`${((performance.now() - this.#startedAt) / 1_000).toFixed(3).padStart(8)} s  ${line}`)
  }

  putConfiguration (version: number, overrides: Record<string, unknown> = {}): void {
    this.store.put('op', 'config', configurationDocument(version, overrides))
    this.record(`operator: configuration ${version} acknowledged`)
  }

  /** Starts an endpoint and registers it. */
  async startEndpoint (service: 'ledger' | 'engines', overrides: Record<string, unknown> = {}): Promise<EndpointStandIn> {
    const endpoint = await EndpointStandIn.start('127.0.0.1', `i-${service}-${this.#endpoints.length + 1}`)
    this.#endpoints.push(endpoint)
    this.register(service, endpoint, overrides)
    return endpoint
  }

  /** Writes an endpoint's row, as it does itself with each heartbeat. */
  register (service: string, endpoint: EndpointStandIn, overrides: Record<string, unknown> = {}): void {
    this.store.put('servers', endpoint.identity, endpointDocument(service, endpoint.address, overrides))
  }

  /** Starts a gateway with the command of the deploy file and waits until it is ready. */
  async startGateway (): Promise<Gateway> {
    const host = `${this.#network}.${10 + this.#gateways.length}`
    const path = join(this.#directory, `${host}.json`)
    writeFileSync(path, JSON.stringify(bootDocument(`edge-${this.#gateways.length + 1}`, host, this.store.address, [`${this.#network}.10:8229`, `${this.#network}.11:8229`], graceSeconds)))
    const { gateway } = parse(readFileSync('deploy/system.toml', 'utf8')).roles as unknown as { readonly gateway: GatewayRole }
    const [, ...words] = gateway.run.split(' ')
    const { PATH, HOME } = process.env
    const child = spawn(process.execPath, words, { env: { PATH, HOME, ...gateway.env, LAVENDERDOOR_NODE_FILE: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    const started = { host, process: child }
    this.#gateways.push(started)
    for (const output of [child.stdout, child.stderr]) output?.on('data', bytes => this.#recordLog(host, String(bytes)))
    child.on('exit', (code, signal) => this.record(`gateway ${host} ended: code ${code}, signal ${signal}`))
    await this.#untilReady(host)
    this.record(`gateway ${host} is ready, process ${child.pid}`)
    return started
  }

  #recordLog (host: string, text: string): void {
    for (const line of text.trim().split('\n')) this.record(`log of ${host}: ${line}`)
  }

  async #untilReady (host: string): Promise<void> {
    const deadline = performance.now() + startTimeoutMilliseconds
    while (performance.now() < deadline) {
      const isReady = await fetch(`http://${host}:8220/v1/readyz`).then(({ status }) => status === 200, () => false)
      if (isReady) return
      await pause(pollIntervalMilliseconds)
    }
    throw new Error(`the gateway at ${host} was not ready within ${startTimeoutMilliseconds} ms`)
  }

  async #close (): Promise<void> {
    for (const { process: child } of this.#gateways) child.kill('SIGKILL')
    await Promise.all(this.#endpoints.map(endpoint => Promise.race([endpoint.close(), pause(500)])))
    await Promise.race([this.store.close(), pause(500)])
    rmSync(this.#directory, { recursive: true, force: true })
  }
}
