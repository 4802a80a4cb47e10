/**
 * Writes log lines without ever waiting for their reader. Lines are gathered and handed to the
 * system a batch at a time, off the main thread; while a batch is not taken, further lines wait up
 * to a bound and are then dropped and counted. The count is written as soon as lines get through.
 */
import { write } from 'node:fs'

const batchDelayMilliseconds = 100
const maximumQueuedBytes = 512 * 1024
const flushPollIntervalMilliseconds = 10

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
  #queue: string[] = []
  #queuedBytes = 0
  #isWriting = false
  #timer: NodeJS.Timeout | undefined
  #droppedCount = 0
  #unreportedDroppedCount = 0

  constructor (sink: ByteSink) {
    this.#sink = sink
  }

  /** Lines dropped since the start. */
  get droppedCount (): number {
    return this.#droppedCount
  }

  /** Takes a line in, or drops it where too many wait. */
  push (line: string): void {
    if (this.#queuedBytes + line.length > maximumQueuedBytes) {
      this.#droppedCount++
      this.#unreportedDroppedCount++
      return
    }
    this.#queue.push(line)
    this.#queuedBytes += line.length
    this.#timer ??= setTimeout(() => this.#write(), batchDelayMilliseconds).unref()
  }

  /** Waits until all lines are written, but no longer than so many milliseconds. */
  async flush (timeoutMilliseconds: number): Promise<void> {
    this.#write()
    for (let waitedMilliseconds = 0; waitedMilliseconds < timeoutMilliseconds; waitedMilliseconds += flushPollIntervalMilliseconds) {
      if (!this.#isWriting && this.#queue.length === 0) return
      await new Promise(resolve => setTimeout(resolve, flushPollIntervalMilliseconds))
    }
  }

  #write (): void {
    this.#timer = undefined
    if (this.#isWriting || this.#queue.length === 0) return
    const bytes = Buffer.from(this.#queue.join('') + this.#takeDropReport(), 'utf8')
    const lineCount = this.#queue.length
    this.#queue = []
    this.#isWriting = true
    this.#sink(bytes, error => {
      this.#isWriting = false
      this.#queuedBytes = this.#queue.reduce((sum, line) => sum + line.length, 0)
      // A reader that is gone stays gone: what comes later is dropped and counted.
      if (error !== null) this.#droppedCount += lineCount
      else this.#write()
    })
  }

  #takeDropReport (): string {
    if (this.#unreportedDroppedCount === 0) return ''
    const report = `${JSON.stringify({ time: new Date().toISOString(), level: 'warn', event: 'log_lines_dropped', lines: this.#unreportedDroppedCount })}\n`
    this.#unreportedDroppedCount = 0
    return report
  }
}
