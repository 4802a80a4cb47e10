/** Starts a process of a trial or of a test, writes its output to a log, exchanges messages with it and ends it. */
import { type ChildProcess, type StdioOptions, spawn } from 'node:child_process'
import { closeSync, existsSync, openSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { processorWaitMilliseconds } from '../test/fakes/processorWait.ts'

const bytesPerKilobyte = 1024

/** The exit code or signal of a process that has ended. */
export interface ProcessEnd {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

export interface TrialProcessOptions {
  readonly name: string
  /** The program and its arguments. */
  readonly command: readonly string[]
  /** All variables of its environment; those of this process unless given. */
  readonly environment?: Readonly<Record<string, string>>
  /** Where its output is appended to `NAME.log`; without it the output is dropped. */
  readonly logFolder?: string
  /** Called with each line of its standard output, which is then not logged. */
  readonly onLine?: (line: string) => void
  /** Called with each message that it sends; without it there is no channel for messages. */
  readonly onMessage?: (message: unknown) => void
}

/**
 * A process that was started here.
 *
 * @example
 * const store = new TrialProcess({ name: 'store', command: [process.execPath, 'store.cjs'], logFolder })
 * await store.kill()
 */
export class TrialProcess {
  readonly name: string
  readonly ended: Promise<ProcessEnd>
  readonly #child: ChildProcess

  constructor ({ name, command, environment, logFolder, onLine, onMessage }: TrialProcessOptions) {
    this.name = name
    const [program = '', ...programArguments] = command
    const log = logFolder === undefined ? undefined : openSync(join(logFolder, `${name}.log`), 'a')
    const stdio: StdioOptions = ['ignore', onLine === undefined ? log ?? 'ignore' : 'pipe', log ?? 'ignore']
    if (onMessage !== undefined) stdio.push('ipc')
    this.#child = spawn(program, programArguments, { stdio, env: environment ?? process.env })
    if (log !== undefined) closeSync(log)
    this.ended = new Promise(resolve => {
      this.#child.once('exit', (code, signal) => resolve({ code, signal }))
      this.#child.once('error', () => resolve({ code: null, signal: null }))
    })
    if (onMessage !== undefined) this.#child.on('message', onMessage)
    if (onLine !== undefined) createInterface(this.#child.stdout!).on('line', onLine)
  }

  /** The process id; 0 if the process could not be started. */
  get pid (): number {
    return this.#child.pid ?? 0
  }

  get isRunning (): boolean {
    return this.pid !== 0 && this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** The memory that the process has now, in bytes; 0 once it has ended. */
  get memoryBytes (): number {
    return this.#memoryBytes('VmRSS')
  }

  /** The most memory that the process has had so far, in bytes; 0 once it has ended. */
  get peakMemoryBytes (): number {
    return this.#memoryBytes('VmHWM')
  }

  /** For how long its main thread has been ready to run without a processor; 0 once it has ended. */
  get processorWaitMilliseconds (): number {
    return processorWaitMilliseconds(this.pid)
  }

  /** Sends a message, if the process has a channel for messages and runs. */
  send (message: object): void {
    if (this.#child.connected) this.#child.send(message, () => undefined)
  }

  signal (signal: NodeJS.Signals): void {
    this.#child.kill(signal)
  }

  /** Sends SIGTERM and waits for the end of the process. */
  async stop (): Promise<ProcessEnd> {
    this.signal('SIGTERM')
    return await this.ended
  }

  /** Sends SIGKILL and waits for the end of the process. */
  async kill (): Promise<ProcessEnd> {
    this.signal('SIGKILL')
    return await this.ended
  }

  #memoryBytes (field: string): number {
    const path = `/proc/${this.pid}/status`
    if (!this.isRunning || !existsSync(path)) return 0
    const [, kilobytes = 0] = new RegExp(`${field}:\\s+(\\d+) kB`).exec(readFileSync(path, 'utf8')) ?? []
    return Number(kilobytes) * bytesPerKilobyte
  }
}
