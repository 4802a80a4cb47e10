/**
 * Writes log lines without ever blocking on a slow reader. Lines are written in batches, off the main
 * thread. While a write is pending, further lines are queued up to a limit; beyond it they are dropped
 * and counted. The count is logged with the next batch that is written.
 */
import { write } from 'node:fs'

const batchDelayMilliseconds = 100
const maximumQueuedBytes = 512 * 1024
const flushPollIntervalMilliseconds = 10

/** Writes bytes and calls back when the write has finished. */
export type ByteSink = (bytes: Buffer, done: (error: Error | null) => void) => void

/** Writes to a file descriptor; continues after partial writes. */
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

  /** Number of lines dropped since the start. */
  get droppedCount (): number {
    return this.#droppedCount
  }

  /** Queues a line, or drops it if the queue is full. */
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

  /** Waits until all lines are written or the timeout has passed. */
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
      // A reader that has gone does not come back: the lines of this batch count as dropped, and so will later ones.
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
