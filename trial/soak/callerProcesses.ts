/** The processes of a soak's callers, as the soak itself sees them: it tells them whom to call and gets their records. */
import { join } from 'node:path'
import { TrialProcess } from '../trialProcess.ts'
import type { CallerProcessSettings, CallerTargets } from './callerProcess.ts'
import type { RequestRecord } from './records.ts'

export interface CallerProcessesOptions {
  readonly seed: number
  readonly processCount: number
  readonly callersPerProcess: number
  /** When calling ends, in milliseconds since the Unix epoch. */
  readonly endsAt: number
  /** The bundled program. */
  readonly program: string
  readonly logFolder: string
  readonly onRecord: (record: RequestRecord) => void
}

/**
 * @example
 * const callers = new CallerProcesses(options)
 * callers.tell({ gateways, routes, keys })
 * await callers.ended
 */
export class CallerProcesses {
  readonly #processes: readonly TrialProcess[]

  constructor ({ seed, processCount, callersPerProcess, endsAt, program, logFolder, onRecord }: CallerProcessesOptions) {
    this.#processes = Array.from({ length: processCount }, (_, number) => {
      const name = `c${number}`
      const settings: CallerProcessSettings = { name, seed, callerCount: callersPerProcess, endsAt }
      const command = [process.execPath, program, JSON.stringify(settings)]
      return new TrialProcess({ name, command, logFolder, onLine: line => onRecord(JSON.parse(line)), onMessage: () => undefined })
    })
  }

  /** Resolves when all callers have ended. */
  get ended (): Promise<unknown> {
    return Promise.all(this.#processes.map(each => each.ended))
  }

  /** For how long they have been ready to run without a processor, in milliseconds since their starts, by the names that begin the ids of their requests. */
  get processorWaits (): ReadonlyMap<string, number> {
    return new Map(this.#processes.map(each => [each.name, each.processorWaitMilliseconds]))
  }

  /** Tells all callers whom they may call from now on. */
  tell (targets: CallerTargets): void {
    for (const each of this.#processes) each.send(targets)
  }

  async kill (): Promise<void> {
    await Promise.all(this.#processes.map(each => each.kill()))
  }
}

/** Where the program of the callers is bundled to. */
export function callerProgramIn (folder: string): string {
  return join(folder, 'callerProcess.cjs')
}
