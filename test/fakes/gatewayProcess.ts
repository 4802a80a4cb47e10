/** Runs the built gateway program as a process of its own, so that its memory can be measured. */
import { spawnSync } from 'node:child_process'
import { cpSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse } from 'smol-toml'
import { bootDocument } from '../../platform/standin/index.ts'
import { SystemClock } from '../../src/contract/index.ts'
import { type ProcessEnd, TrialProcess } from '../../trial/trialProcess.ts'

const defaultGraceSeconds = 2
const clock = new SystemClock()
let nextHost = 1

/** A loopback address of its own for each gateway; the process ID keeps test processes apart. */
export function allocateProcessHost (): string {
  return `127.${200 + process.pid % 50}.${1 + Math.floor(process.pid / 50) % 250}.${nextHost++}`
}

/** Builds the program into a directory of its own, or copies one that has been built into a folder. */
export function buildProgram (builtFolder?: string): string {
  const directory = mkdtempSync(join(tmpdir(), 'lavenderdoor-process-'))
  if (builtFolder !== undefined) {
    cpSync(builtFolder, directory, { recursive: true })
    return directory
  }
  const { status } = spawnSync(process.execPath, ['scripts/buildForwarder.mjs', directory])
  if (status !== 0) throw new Error('the program was not built')
  return directory
}

export interface GatewayProcessSettings {
  readonly name?: string
  /** Further members of its boot file. */
  readonly boot?: Readonly<Record<string, unknown>>
  readonly graceSeconds?: number
  /** Where its log is written; without it there is none. */
  readonly logFolder?: string
  /** Put ahead of the command, as `taskset` with its arguments. */
  readonly commandPrefix?: readonly string[]
}

export class GatewayProcess {
  readonly host: string
  readonly #process: TrialProcess

  /**
   * @param limits of the VM, as its boot file states them
   * @param seeds addresses of the links of other gateways
   */
  constructor (directory: string, host: string, storeAddress: string, limits: Readonly<Record<string, number>>, seeds: readonly string[] = [], settings: GatewayProcessSettings = {}) {
    this.host = host
    const { name = `edge-${host}`, boot = {}, graceSeconds = defaultGraceSeconds, logFolder, commandPrefix = [] } = settings
    const path = join(directory, `${host}.json`)
    writeFileSync(path, JSON.stringify({ ...bootDocument(name, host, storeAddress, seeds, graceSeconds), ...boot, limits }))
    const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as { roles: { gateway: { run: string } } }
    const flags = roles.gateway.run.split(' ').filter(word => word.startsWith('--'))
    this.#process = new TrialProcess({
      name,
      command: [...commandPrefix, process.execPath, ...flags, join(directory, 'launch.cjs')],
      environment: { LAVENDERDOOR_NODE_FILE: path, LAVENDERDOOR_LINK_SECRET: 'secret of a test' },
      logFolder
    })
  }

  get pid (): number {
    return this.#process.pid
  }

  get isRunning (): boolean {
    return this.#process.isRunning
  }

  get ended (): Promise<ProcessEnd> {
    return this.#process.ended
  }

  /** The memory that the process has now. */
  get memoryBytes (): number {
    return this.#process.memoryBytes
  }

  /** The most memory that the process has had so far. */
  get peakMemoryBytes (): number {
    return this.#process.peakMemoryBytes
  }

  signal (signal: NodeJS.Signals): void {
    this.#process.signal(signal)
  }

  /** For how long its main thread has been ready to run without a processor; 0 once it has ended. */
  get processorWaitMilliseconds (): number {
    return this.#process.processorWaitMilliseconds
  }

  /** Holds the process up for some milliseconds: it runs nothing meanwhile, while its kernel goes on receiving for it. */
  async holdUp (milliseconds: number): Promise<void> {
    this.signal('SIGSTOP')
    await new Promise(resolve => setTimeout(resolve, milliseconds))
    this.signal('SIGCONT')
  }

  /** Stops the process as planned, and kills it if it does not end; an end is read before the time counts as over. */
  async stop (timeoutMilliseconds: number): Promise<boolean> {
    this.signal('SIGTERM')
    await Promise.race([this.ended, new Promise<void>(resolve => { clock.scheduleAfterInput(timeoutMilliseconds, resolve) })])
    const hasEnded = !this.isRunning
    if (!hasEnded) this.signal('SIGKILL')
    return hasEnded
  }
}

export function removeProgram (directory: string): void {
  rmSync(directory, { recursive: true })
}
