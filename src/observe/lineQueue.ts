/**
 * Writes log lines without ever waiting for their reader. Lines are gathered and handed to the
 * system a batch at a time, off the main thread; while a batch is not taken, further lines wait up
 * to a bound and are then dropped and counted. The count is written as soon as lines get through.
 */
import { write } from 'node:fs'

const gatherMilliseconds = 100
const mostWaitingBytes = 512 * 1024
const flushStepMilliseconds = 10

/** Hands bytes to the system; calls back when they are taken. */
export type ByteSink = (bytes: Buffer, done: (error: Error | null) => void) => void

/** Writes to a file descriptor; a part that is left over is written again. */
export function descriptorSink (descriptor: number): ByteSink {
  const sink: ByteSink = (bytes, done) => write(descriptor, bytes, 0, bytes.length, null, (error, written) => {
    if (error !== null || written >= bytes.length) return done(error)
    sink(bytes.subarray(written), done)
  })
  return sink
}

/**
 * A bounded queue of lines.
 *
 * @example
 * const lines = new LineQueue(descriptorSink(1))
 * const log = new Log('info', {}, line => lines.push(line))
 */
export class LineQueue {
  readonly #sink: ByteSink
  #waiting: string[] = []
  #waitingBytes = 0
  #isWriting = false
  #timer: NodeJS.Timeout | undefined
  #dropped = 0
  #droppedUntold = 0

  constructor (sink: ByteSink) {
    this.#sink = sink
  }

  /** Lines dropped since the start. */
  get dropped (): number {
    return this.#dropped
  }

  /** Takes a line in, or drops it where too many wait. */
  push (line: string): void {
    if (this.#waitingBytes + line.length > mostWaitingBytes) {
      this.#dropped++
      this.#droppedUntold++
      return
    }
    this.#waiting.push(line)
    this.#waitingBytes += line.length
    this.#timer ??= setTimeout(() => this.#write(), gatherMilliseconds).unref()
  }

  /** Waits until all lines are written, but no longer than so many milliseconds. */
  async flush (milliseconds: number): Promise<void> {
    this.#write()
    for (let waited = 0; waited < milliseconds; waited += flushStepMilliseconds) {
      if (!this.#isWriting && this.#waiting.length === 0) return
      await new Promise(resolve => setTimeout(resolve, flushStepMilliseconds))
    }
  }

  #write (): void {
    this.#timer = undefined
    if (this.#isWriting || this.#waiting.length === 0) return
    const bytes = Buffer.from(this.#waiting.join('') + this.#dropNote(), 'utf8')
    const lines = this.#waiting.length
    this.#waiting = []
    this.#isWriting = true
    this.#sink(bytes, error => {
      this.#isWriting = false
      this.#waitingBytes = this.#waiting.reduce((sum, line) => sum + line.length, 0)
      // A reader that is gone stays gone: what comes later is dropped and counted.
      if (error !== null) this.#dropped += lines
      else this.#write()
    })
  }

  #dropNote (): string {
    if (this.#droppedUntold === 0) return ''
    const note = `${JSON.stringify({ time: new Date().toISOString(), level: 'warn', event: 'log_lines_dropped', lines: this.#droppedUntold })}\n`
    this.#droppedUntold = 0
    return note
  }
}
