/** Starts the processes of a trial from the bundled program and waits until they are ready. */
import { spawn } from 'node:child_process'
import { join } from 'node:path'
import { TrialProcess } from '../trialProcess.ts'

/** The bundled program, or the binary that LAVENDERDOOR_PROGRAM names. */
const programFile = process.env.LAVENDERDOOR_PROGRAM ?? join('dist', 'lavenderdoor.cjs')
const [programCommand, ...programArguments] = programFile.endsWith('.cjs') ? [process.execPath, programFile] : [programFile]
const readyPollIntervalMilliseconds = 50
const readyTimeoutMilliseconds = 15_000

/** Starts the bundled program with the arguments that are given; its output goes to a log of its name in the folder. */
export function startProgram (name: string, commandArguments: readonly string[], logFolder: string): TrialProcess {
  return new TrialProcess({ name, command: [programCommand ?? programFile, ...programArguments, ...commandArguments], logFolder })
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
