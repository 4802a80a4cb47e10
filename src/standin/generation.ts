/**
 * One answer while it is made. Its tokens are kept until some time after its end, so that a stream
 * whose connection broke can be taken up at any offset. Readers wait on a list of wake-ups; the
 * generation never waits for them.
 */
import type { Priority, VersionName } from '../contract/index.ts'
import { type AnswerHeader, tokenText } from './textProtocol.ts'

/** What a generation is asked to make. */
export interface GenerationPlan {
  readonly attemptId: string
  readonly version: VersionName
  readonly header: AnswerHeader
  readonly priority: Priority
  readonly prefixKey: string
  readonly promptTokens: number
  /** Tokens of the whole answer. */
  readonly answerTokens: number
  /** Whether the answer is cut by the caller's token limit. */
  readonly isTruncated: boolean
  /** Whether the engine was marked leaving when it took this. */
  readonly receivedWhileLeaving: boolean
}

/** One answer while it is made. */
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

  /** How many tokens are made. */
  get producedTokens (): number {
    return this.#tokenTexts.length
  }

  get isWhole (): boolean {
    return this.producedTokens === this.plan.answerTokens
  }

  /** Nothing more is to come: whole or cancelled. */
  get isFinished (): boolean {
    return this.isWhole || this.isCancelled
  }

  /** The text of the tokens from an offset on. */
  textFrom (offset: number): string {
    return this.#tokenTexts.slice(offset).join('')
  }

  /** Makes the next token. */
  produceToken (): void {
    this.#tokenTexts.push(tokenText(this.plan.header, this.producedTokens, this.plan.answerTokens))
    if (this.isWhole) this.finishedAt = Date.now()
    this.#notifyWaiters()
  }

  /** Ends it before it is whole. */
  cancel (): void {
    if (this.isFinished) return
    this.isCancelled = true
    this.finishedAt = Date.now()
    this.#notifyWaiters()
  }

  /** Fulfilled at the next token, at the end, or after so many milliseconds. */
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
