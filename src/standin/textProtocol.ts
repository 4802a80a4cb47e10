/**
 * The text format that trials and stand-ins exchange through a router that does not interpret it. A
 * prompt may contain `kind=summary`, `difficulty=0.37`, `tokens=40` and `request=some-name`. An
 * engine's answer starts with the header `[small@1 summary skill=0.55 request=some-name]`, continues
 * with one numbered word per token (`w1 w2 …`) and ends with `end`. A check can thus tell which
 * request an answer belongs to and whether it is complete, and the rating service can compute its
 * true score.
 */
import type { VersionName } from '../contract/index.ts'

/** The directives in a prompt. */
export interface PromptDirectives {
  readonly kind: string
  /** 0 to 1; answers to harder questions score lower. */
  readonly difficulty: number
  /** Number of tokens in the answer; undefined uses the default of the kind. */
  readonly tokens: number | undefined
  readonly request: string
}

/** The header at the start of an answer. */
export interface AnswerHeader {
  readonly version: VersionName
  readonly kind: string
  readonly skill: number
  readonly request: string
}

const defaultKind = 'tagging'
const defaultDifficulty = 0.5
const defaultSkill = 0.9
const defaultRequest = '-'
const scoreAtEqualSkill = 70
const pointsPerSkillUnit = 60
const maximumScore = 100
const answerHeaderPattern = /^\[(\S+@\S+) (\S+) skill=([\d.]+) request=([^\]\s]+)\]/

/**
 * Reads the directives in a prompt; missing ones take their defaults.
 *
 * @example
 * parsePrompt('kind=lookup difficulty=0.2 Which deposits are held?').difficulty // 0.2
 */
export function parsePrompt (prompt: string): PromptDirectives {
  const tokens = /\btokens=(\d+)/.exec(prompt)?.[1]
  return {
    kind: /\bkind=([\w-]+)/.exec(prompt)?.[1] ?? defaultKind,
    difficulty: Number(/\bdifficulty=([\d.]+)/.exec(prompt)?.[1] ?? defaultDifficulty),
    tokens: tokens === undefined ? undefined : Number(tokens),
    request: /\brequest=([\w.-]+)/.exec(prompt)?.[1] ?? defaultRequest
  }
}

export function formatAnswerHeader (header: AnswerHeader): string {
  return `[${header.version} ${header.kind} skill=${header.skill.toFixed(3)} request=${header.request}]`
}

/** Reads the header of an answer; undefined if there is none. */
export function parseAnswerHeader (answer: string): AnswerHeader | undefined {
  const [, version, kind, skill, request] = answerHeaderPattern.exec(answer) ?? []
  if (version === undefined || kind === undefined || skill === undefined || request === undefined) return undefined
  return { version: version as VersionName, kind, skill: Number(skill), request }
}

/** The text of one token in an answer of `count` tokens: the header comes first, `end` last. */
export function tokenText (header: AnswerHeader, index: number, count: number): string {
  if (index === 0) return formatAnswerHeader(header)
  return index === count - 1 ? ' end' : ` w${index}`
}

/**
 * Whether a text is the complete answer to the named request.
 *
 * @example
 * isCompleteAnswer('[small@1 tagging skill=0.960 request=r7] w1 w2 end', 'r7') // true
 */
export function isCompleteAnswer (text: string, request: string): boolean {
  const header = parseAnswerHeader(text)
  if (header?.request !== request) return false
  const words = text.split(' ')
  const count = words.length - formatAnswerHeader(header).split(' ').length + 1
  const expectedText = Array.from({ length: count }, (_, index) => tokenText(header, index, count)).join('')
  return expectedText === text
}

/** The score of an answer without rating noise, 0 to 100: 70 if the skill of the version equals the difficulty. */
export function trueScore (prompt: string, answer: string): number {
  const skill = parseAnswerHeader(answer)?.skill ?? defaultSkill
  const score = scoreAtEqualSkill + pointsPerSkillUnit * (skill - parsePrompt(prompt).difficulty)
  return Math.min(maximumScore, Math.max(0, score))
}
