/**
 * Logs as JSON lines, one event per line. Events have stable names in snake case, so that log queries
 * do not depend on wording. Prompts, answers, API keys and tokens must never be logged.
 */
import { createConsola, type ConsolaInstance, type LogObject } from 'consola'

/** Log levels, with the numeric levels of consola. */
export const LogLevel = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4
} as const
export type LogLevel = keyof typeof LogLevel

export type LogFields = Readonly<Record<string, string | number | boolean | undefined | readonly string[]>>

/** Receives each formatted line, including its line break. */
export type LineWriter = (line: string) => void

/**
 * A structured logger.
 *
 * @example
 * const log = new Log('info', { virtualMachine: 'entry-1' })
 * log.info('settings_installed', { revision: 12 })
 */
export class Log {
  readonly #consola: ConsolaInstance
  readonly #commonFields: LogFields

  /**
   * @param commonFields fields added to every line
   * @param write receives the lines; standard error by default
   */
  constructor (level: LogLevel, commonFields: LogFields = {}, write: LineWriter = line => process.stderr.write(line)) {
    this.#commonFields = commonFields
    this.#consola = createConsola({
      level: LogLevel[level],
      throttle: 0,
      reporters: [{ log: entry => write(this.#formatLine(entry)) }]
    })
  }

  /** Logs a failure that needs an operator's attention. */
  error (event: string, fields: LogFields = {}): void {
    this.#consola.error(event, fields)
  }

  /** Logs an abnormal condition that the process handles by itself. */
  warn (event: string, fields: LogFields = {}): void {
    this.#consola.warn(event, fields)
  }

  /** Logs a notable event of normal operation. */
  info (event: string, fields: LogFields = {}): void {
    this.#consola.info(event, fields)
  }

  /** Logs details for troubleshooting. */
  debug (event: string, fields: LogFields = {}): void {
    this.#consola.debug(event, fields)
  }

  #formatLine (entry: LogObject): string {
    const [event, fields] = entry.args as [string, LogFields]
    const line = { time: entry.date.toISOString(), level: entry.type, event, ...this.#commonFields, ...fields }
    return `${JSON.stringify(line)}\n`
  }
}
