/** Speed and skill of the simulated models; a model that is not listed behaves like `medium`. */
import { modelOf, type VersionName } from '../contract/index.ts'

/** The speed of a model on new hardware and its skill for each kind of request. */
export interface ModelProfile {
  /** Milliseconds of a decoding step, without the share of its streams. */
  readonly decodeBaseMilliseconds: number
  /** Milliseconds that each stream of the batch adds to a decoding step. */
  readonly decodePerStreamMilliseconds: number
  readonly prefillTokensPerSecond: number
  /** Skill for each kind of request, 0 to 1. */
  readonly skill: Readonly<Record<string, number>>
}

const medium: ModelProfile = {
  decodeBaseMilliseconds: 12,
  decodePerStreamMilliseconds: 0.3,
  prefillTokensPerSecond: 8_000,
  skill: { tagging: 0.98, lookup: 0.97, summary: 0.85 }
}

const profiles: Readonly<Record<string, ModelProfile>> = {
  small: {
    decodeBaseMilliseconds: 6,
    decodePerStreamMilliseconds: 0.15,
    prefillTokensPerSecond: 16_000,
    skill: { tagging: 0.96, lookup: 0.93, summary: 0.55 }
  },
  medium,
  large: {
    decodeBaseMilliseconds: 20,
    decodePerStreamMilliseconds: 0.45,
    prefillTokensPerSecond: 4_000,
    skill: { tagging: 0.99, lookup: 0.99, summary: 0.96 }
  }
}

const defaultSkill = 0.9
const defaultAnswerTokens = 40
const answerTokensByKind: Readonly<Record<string, number>> = { tagging: 20, lookup: 60, summary: 500 }

/** The profile of the model that a version belongs to. */
export function profileOf (version: VersionName): ModelProfile {
  return profiles[modelOf(version)] ?? medium
}

/** The skill of a version for a kind of request, 0 to 1. */
export function skillOf (version: VersionName, kind: string): number {
  return profileOf(version).skill[kind] ?? defaultSkill
}

/** The number of tokens in an answer to a kind of request whose prompt does not set `tokens=`. */
export function answerTokensOf (kind: string): number {
  return answerTokensByKind[kind] ?? defaultAnswerTokens
}
