/** Runs the built gateway program as a process of its own, so that its memory can be measured. */
import { type ChildProcess, spawn, spawnSync } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse } from 'smol-toml'
import { bootDocument } from '../../platform/standin/index.ts'
import { SystemClock } from '../../src/contract/index.ts'
import { processorWaitMilliseconds } from './processorWait.ts'

const bytesPerKilobyte = 1024
const clock = new SystemClock()
let nextHost = 1

/** A loopback address of its own for each gateway; the process ID keeps test processes apart. */
export function allocateProcessHost (): string {
  return `127.${200 + process.pid % 50}.${1 + Math.floor(process.pid / 50) % 250}.${nextHost++}`
}

/** Builds the program into a directory of its own. */
export function buildProgram (): string {
  const directory = mkdtempSync(join(tmpdir(), 'lavenderdoor-process-'))
  const { status } = spawnSync(process.execPath, ['scripts/buildForwarder.mjs', directory])
  if (status !== 0) throw new Error('the program was not built')
  return directory
}

export class GatewayProcess {
  readonly host: string
  readonly #child: ChildProcess
  readonly #exit: Promise<void>

  /**
   * @param limits of the VM, as its boot file states them
   * @param seeds addresses of the links of other gateways
   */
  constructor (directory: string, host: string, storeAddress: string, limits: Readonly<Record<string, number>>, seeds: readonly string[] = []) {
    this.host = host
    const path = join(directory, `${host}.json`)
    writeFileSync(path, JSON.stringify({ ...bootDocument(`edge-${host}`, host, storeAddress, seeds, 2), limits }))
    const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as { roles: { gateway: { run: string } } }
    const flags = roles.gateway.run.split(' ').filter(word => word.startsWith('--'))
    this.#child = spawn(process.execPath, [...flags, join(directory, 'launch.cjs')], {
      env: { LAVENDERDOOR_NODE_FILE: path, LAVENDERDOOR_LINK_SECRET: 'secret of a test' },
      stdio: 'ignore'
    })
    this.#exit = new Promise(resolve => this.#child.once('exit', () => resolve()))
  }

  get isRunning (): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** The memory that the process has now. */
  get memoryBytes (): number {
    return this.#memoryBytes('VmRSS')
  }

  /** The most memory that the process has had so far. */
  get peakMemoryBytes (): number {
    return this.#memoryBytes('VmHWM')
  }

  /** For how long its main thread has been ready to run without a processor; 0 once it has ended. */
  get processorWaitMilliseconds (): number {
    return processorWaitMilliseconds(this.#child.pid)
  }

  /** Holds the process up for some milliseconds: it runs nothing meanwhile, while its kernel goes on receiving for it. */
  async holdUp (milliseconds: number): Promise<void> {
    this.#child.kill('SIGSTOP')
    await new Promise(resolve => setTimeout(resolve, milliseconds))
    this.#child.kill('SIGCONT')
  }

  /** Stops the process as planned, and kills it if it does not end; an end is read before the time counts as over. */
  async stop (timeoutMilliseconds: number): Promise<boolean> {
    this.#child.kill('SIGTERM')
    await Promise.race([this.#exit, new Promise<void>(resolve => { clock.scheduleAfterInput(timeoutMilliseconds, resolve) })])
    const hasEnded = !this.isRunning
    if (!hasEnded) this.#child.kill('SIGKILL')
    return hasEnded
  }

  #memoryBytes (field: string): number {
    const status = readFileSync(`/proc/${this.#child.pid}/status`, 'utf8')
    return Number(new RegExp(`${field}:\\s+(\\d+) kB`).exec(status)?.[1]) * bytesPerKilobyte
  }
}

export function removeProgram (directory: string): void {
  rmSync(directory, { recursive: true })
}
