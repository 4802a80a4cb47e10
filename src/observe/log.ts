/**
 * Logs as JSON lines, one event a line. An event has a stable name in snake case, so that a query
 * survives a change of wording. Prompts, answers, API keys and tokens are never passed to a log.
 */
import { createConsola, type ConsolaInstance, type LogObject } from 'consola'

/** How much is written. */
export const LogLevel = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4
} as const
export type LogLevel = keyof typeof LogLevel

/** The fields of an event. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined | readonly string[]>>

/** Where lines go. */
export type LineWriter = (line: string) => void

/**
 * A process's log.
 *
 * @example
 * const log = new Log('info', { virtualMachine: 'entry-1' })
 * log.info('settings_installed', { revision: 12 })
 */
export class Log {
  readonly #consola: ConsolaInstance
  readonly #commonFields: LogFields

  /**
   * @param commonFields fields that every line carries
   * @param write where lines go; standard error where it is not given
   */
  constructor (level: LogLevel, commonFields: LogFields = {}, write: LineWriter = line => process.stderr.write(line)) {
    this.#commonFields = commonFields
    this.#consola = createConsola({
      level: LogLevel[level],
      throttle: 0,
      reporters: [{ log: entry => write(this.#formatLine(entry)) }]
    })
  }

  /** Something failed that an operator should look at. */
  error (event: string, fields: LogFields = {}): void {
    this.#consola.error(event, fields)
  }

  /** Something is not as it should be, and the process copes. */
  warn (event: string, fields: LogFields = {}): void {
    this.#consola.warn(event, fields)
  }

  /** Something of note happened. */
  info (event: string, fields: LogFields = {}): void {
    this.#consola.info(event, fields)
  }

  /** Detail for a search after a fault. */
  debug (event: string, fields: LogFields = {}): void {
    this.#consola.debug(event, fields)
  }

  #formatLine (entry: LogObject): string {
    const [event, fields] = entry.args as [string, LogFields]
    const line = { time: entry.date.toISOString(), level: entry.type, event, ...this.#commonFields, ...fields }
    return `${JSON.stringify(line)}\n`
  }
}
