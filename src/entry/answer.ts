/** What a routed chat completion yields: its version first, then its text in order, and last its end. */
import type { Refusal, TokenUsage, VersionName } from '../contract/index.ts'

/** The answer begins; its version is settled. */
export interface AnswerStarted {
  readonly type: 'started'
  readonly version: VersionName
  /** The token by which the session's next turn keeps the version; undefined outside a session. */
  readonly sessionToken: string | undefined
}

/** A piece of text, in order and without gaps. */
export interface AnswerText {
  readonly type: 'text'
  readonly text: string
}

/** The answer is whole and its bill is safe. */
export interface AnswerFinished {
  readonly type: 'finished'
  readonly reason: 'stop' | 'length'
  readonly usage: TokenUsage
}

/** There is no whole answer, even where some text went before. */
export interface AnswerRefused {
  readonly type: 'refused'
  readonly refusal: Refusal
}

export type AnswerEvent = AnswerStarted | AnswerText | AnswerFinished | AnswerRefused
