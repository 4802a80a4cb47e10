/** The processes of a trial: started from the bundled program, waited for, and ended by their ids. */
import { type ChildProcess, spawn } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'

/** The bundled program, or the built binary where LAVENDERDOOR_PROGRAM names it. */
const programFile = process.env.LAVENDERDOOR_PROGRAM ?? join('dist', 'lavenderdoor.cjs')
const [programCommand, ...programArguments] = programFile.endsWith('.cjs') ? [process.execPath, programFile] : [programFile]
const readyPollIntervalMilliseconds = 50
const readyTimeoutMilliseconds = 15_000

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** One process of a trial. */
export class TrialProcess {
  readonly name: string
  readonly ended: Promise<ProcessEnd>
  readonly #child: ChildProcess

  /** @param logFolder where its output goes, one file a process */
  constructor (name: string, commandArguments: readonly string[], logFolder: string) {
    this.name = name
    this.#child = spawn(programCommand ?? programFile, [...programArguments, ...commandArguments], { stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(logFolder, `${name}.log`), { flags: 'a' })
    this.#child.stdout?.pipe(log, { end: false })
    this.#child.stderr?.pipe(log, { end: false })
    this.ended = new Promise(resolve => this.#child.once('exit', (code, signal) => resolve({ code, signal })))
  }

  /** Its process id. */
  get pid (): number {
    return this.#child.pid ?? 0
  }

  /** Asks it to stop, and waits until it has. */
  async stop (): Promise<ProcessEnd> {
    this.#child.kill('SIGTERM')
    return await this.ended
  }

  /** Kills it. */
  async kill (): Promise<ProcessEnd> {
    this.#child.kill('SIGKILL')
    return await this.ended
  }
}

/** Runs one command of the program to its end. */
export async function runCommand (commandArguments: readonly string[]): Promise<{ readonly code: number | null, readonly output: string }> {
  const child = spawn(programCommand ?? programFile, [...programArguments, ...commandArguments], { stdio: ['ignore', 'pipe', 'pipe'] })
  let output = ''
  child.stdout.on('data', chunk => { output += String(chunk) })
  child.stderr.on('data', chunk => { output += String(chunk) })
  const code = await new Promise<number | null>(resolve => child.once('close', resolve))
  return { code, output }
}

/** Waits until a URL answers with a status below 400. */
export async function waitUntilAnswering (url: string): Promise<void> {
  const deadline = Date.now() + readyTimeoutMilliseconds
  while (Date.now() < deadline) {
    const response = await fetch(url).catch(() => undefined)
    if (response?.ok) return
    await sleep(readyPollIntervalMilliseconds)
  }
  throw new Error(`${url} did not answer within ${readyTimeoutMilliseconds} ms`)
}

/** Waits. */
export function sleep (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
