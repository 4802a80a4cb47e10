/**
 * The generation of one answer. Its tokens are retained for some time after its end, so that a reader
 * whose connection broke can resume the stream at any offset. Readers are notified of new tokens; the
 * generation never waits for a reader.
 */
import type { Priority, VersionName } from '../contract/index.ts'
import { type AnswerHeader, tokenText } from './textProtocol.ts'

/** The parameters of a generation, fixed when the request is received. */
export interface GenerationPlan {
  readonly attemptId: string
  readonly version: VersionName
  readonly header: AnswerHeader
  readonly priority: Priority
  readonly prefixKey: string
  readonly promptTokens: number
  /** Number of tokens in the complete answer. */
  readonly answerTokens: number
  /** Whether the caller's `max_tokens` shortens the answer. */
  readonly isTruncated: boolean
  /** Whether the engine was marked as leaving when it received the request. */
  readonly receivedWhileLeaving: boolean
}

export class Generation {
  readonly plan: GenerationPlan
  /** Milliseconds since the epoch. */
  readonly receivedAt = Date.now()
  startedAt: number | undefined
  finishedAt: number | undefined
  cachedTokens = 0
  isCancelled = false
  readonly #tokenTexts: string[] = []
  #waiters: Array<() => void> = []

  constructor (plan: GenerationPlan) {
    this.plan = plan
  }

  /** Number of tokens produced so far. */
  get producedTokens (): number {
    return this.#tokenTexts.length
  }

  get isWhole (): boolean {
    return this.producedTokens === this.plan.answerTokens
  }

  /** Whether no more tokens follow, because the answer is complete or was cancelled. */
  get isFinished (): boolean {
    return this.isWhole || this.isCancelled
  }

  /** The concatenated text of all tokens from an offset on. */
  textFrom (offset: number): string {
    return this.#tokenTexts.slice(offset).join('')
  }

  produceToken (): void {
    this.#tokenTexts.push(tokenText(this.plan.header, this.producedTokens, this.plan.answerTokens))
    if (this.isWhole) this.finishedAt = Date.now()
    this.#notifyWaiters()
  }

  /** Ends the generation early; has no effect on a finished one. */
  cancel (): void {
    if (this.isFinished) return
    this.isCancelled = true
    this.finishedAt = Date.now()
    this.#notifyWaiters()
  }

  /** Resolves at the next token, at the end of the generation or at the timeout. */
  waitForChange (timeoutMilliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, timeoutMilliseconds)
      this.#waiters.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  #notifyWaiters (): void {
    const waiters = this.#waiters
    this.#waiters = []
    for (const notify of waiters) notify()
  }
}
