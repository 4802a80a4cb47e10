/**
 * One answer while it is made. Its tokens are kept until some time after its end, so that a stream
 * whose connection broke can be taken up at any offset. Readers wait on a list of wake-ups; the
 * generation never waits for them.
 */
import type { Priority, VersionName } from '../contract/index.ts'
import { type AnswerMarks, tokenText } from './marker.ts'

/** What a generation is asked to make. */
export interface GenerationPlan {
  readonly attemptId: string
  readonly version: VersionName
  readonly marks: AnswerMarks
  readonly priority: Priority
  readonly prefixKey: string
  readonly promptTokens: number
  /** Tokens of the whole answer. */
  readonly tokens: number
  /** Whether the answer is cut by the caller's token limit. */
  readonly limited: boolean
  /** Whether the engine was marked leaving when it took this. */
  readonly takenWhileLeaving: boolean
}

/** One answer while it is made. */
export class Generation {
  readonly plan: GenerationPlan
  /** Milliseconds since the epoch. */
  readonly takenAt = Date.now()
  startedAt: number | undefined
  finishedAt: number | undefined
  cachedTokens = 0
  cancelled = false
  readonly #texts: string[] = []
  #wakeUps: Array<() => void> = []

  constructor (plan: GenerationPlan) {
    this.plan = plan
  }

  /** How many tokens are made. */
  get made (): number {
    return this.#texts.length
  }

  get isWhole (): boolean {
    return this.made === this.plan.tokens
  }

  /** Nothing more is to come: whole or cancelled. */
  get isOver (): boolean {
    return this.isWhole || this.cancelled
  }

  /** The text of the tokens from an offset on. */
  textFrom (offset: number): string {
    return this.#texts.slice(offset).join('')
  }

  /** Makes the next token. */
  step (): void {
    this.#texts.push(tokenText(this.plan.marks, this.made, this.plan.tokens))
    if (this.isWhole) this.finishedAt = Date.now()
    this.#wake()
  }

  /** Ends it before it is whole. */
  cancel (): void {
    if (this.isOver) return
    this.cancelled = true
    this.finishedAt = Date.now()
    this.#wake()
  }

  /** Fulfilled at the next token, at the end, or after so many milliseconds. */
  change (milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, milliseconds)
      this.#wakeUps.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  #wake (): void {
    const wakeUps = this.#wakeUps
    this.#wakeUps = []
    for (const wake of wakeUps) wake()
  }
}
