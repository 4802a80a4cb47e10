/** Starts the processes of a trial from the bundled program, waits until they are ready and stops them. */
import { type ChildProcess, spawn } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'

/** The bundled program, or the binary that LAVENDERDOOR_PROGRAM names. */
const programFile = process.env.LAVENDERDOOR_PROGRAM ?? join('dist', 'lavenderdoor.cjs')
const [programCommand, ...programArguments] = programFile.endsWith('.cjs') ? [process.execPath, programFile] : [programFile]
const readyPollIntervalMilliseconds = 50
const readyTimeoutMilliseconds = 15_000

/** The exit code or signal of a process that has ended. */
export interface ProcessEnd {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

export class TrialProcess {
  readonly name: string
  readonly ended: Promise<ProcessEnd>
  readonly #child: ChildProcess

  /** @param logFolder where the output is written, one file per process */
  constructor (name: string, commandArguments: readonly string[], logFolder: string) {
    this.name = name
    this.#child = spawn(programCommand ?? programFile, [...programArguments, ...commandArguments], { stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(logFolder, `${name}.log`), { flags: 'a' })
    this.#child.stdout?.pipe(log, { end: false })
    this.#child.stderr?.pipe(log, { end: false })
    this.ended = new Promise(resolve => this.#child.once('exit', (code, signal) => resolve({ code, signal })))
  }

  /** The process id; 0 if the process could not be started. */
  get pid (): number {
    return this.#child.pid ?? 0
  }

  /** Sends SIGTERM and waits for the end of the process. */
  async stop (): Promise<ProcessEnd> {
    this.#child.kill('SIGTERM')
    return await this.ended
  }

  /** Sends SIGKILL and waits for the end of the process. */
  async kill (): Promise<ProcessEnd> {
    this.#child.kill('SIGKILL')
    return await this.ended
  }
}

/** Runs a command of the program and collects its output. */
export async function runCommand (commandArguments: readonly string[]): Promise<{ readonly code: number | null, readonly output: string }> {
  const child = spawn(programCommand ?? programFile, [...programArguments, ...commandArguments], { stdio: ['ignore', 'pipe', 'pipe'] })
  let output = ''
  child.stdout.on('data', chunk => { output += String(chunk) })
  child.stderr.on('data', chunk => { output += String(chunk) })
  const code = await new Promise<number | null>(resolve => child.once('close', resolve))
  return { code, output }
}

/**
 * Waits until a URL answers with a 2xx status.
 *
 * @throws if it does not within 15 s
 */
export async function waitUntilAnswering (url: string): Promise<void> {
  const deadline = Date.now() + readyTimeoutMilliseconds
  while (Date.now() < deadline) {
    const response = await fetch(url).catch(() => undefined)
    if (response?.ok) return
    await sleep(readyPollIntervalMilliseconds)
  }
  throw new Error(`${url} did not answer within ${readyTimeoutMilliseconds} ms`)
}

export function sleep (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
