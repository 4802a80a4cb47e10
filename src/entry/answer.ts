/** Events of a routed chat completion: its version, then its text in order, then its end. */
import type { Refusal, TokenUsage, VersionName } from '../contract/index.ts'

/** The answer begins; its version no longer changes. */
export interface AnswerStarted {
  readonly type: 'started'
  readonly version: VersionName
  /** Token that keeps the session's next request on this version; undefined outside a session. */
  readonly sessionToken: string | undefined
}

/** Part of the text, in order and without gaps. */
export interface AnswerText {
  readonly type: 'text'
  readonly text: string
}

/** The answer is complete and its bill entry is durable. */
export interface AnswerFinished {
  readonly type: 'finished'
  readonly reason: 'stop' | 'length'
  readonly usage: TokenUsage
}

/** The answer is incomplete, even if some text was sent. */
export interface AnswerRefused {
  readonly type: 'refused'
  readonly refusal: Refusal
}

export type AnswerEvent = AnswerStarted | AnswerText | AnswerFinished | AnswerRefused
