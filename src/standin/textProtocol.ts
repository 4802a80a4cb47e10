/**
 * The plain text by which trials and stand-ins speak to each other through a router that knows
 * nothing of it. A prompt may hold `kind=summary`, `difficulty=0.37`, `tokens=40` and
 * `request=some-name`; an engine's answer begins with
 * `[small@1 summary skill=0.55 request=some-name]`, goes on with one numbered word a token
 * (`w1 w2 …`), and ends with `end`. So a judge can tell whose answer a text is and whether it is
 * whole, and the rating service can work out its true score.
 */
import type { VersionName } from '../contract/index.ts'

/** What a prompt asks of the stand-ins. */
export interface PromptDirectives {
  readonly kind: string
  /** 0 to 1; harder questions score lower. */
  readonly difficulty: number
  /** Tokens that the answer is to have; undefined leaves it to the kind. */
  readonly tokens: number | undefined
  readonly request: string
}

/** What an answer's first line says. */
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
 * Reads what a prompt asks of the stand-ins.
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

/** Writes an answer's first line. */
export function formatAnswerHeader (header: AnswerHeader): string {
  return `[${header.version} ${header.kind} skill=${header.skill.toFixed(3)} request=${header.request}]`
}

/** Reads an answer's first line; undefined where it has none. */
export function parseAnswerHeader (answer: string): AnswerHeader | undefined {
  const [, version, kind, skill, request] = answerHeaderPattern.exec(answer) ?? []
  if (version === undefined || kind === undefined || skill === undefined || request === undefined) return undefined
  return { version: version as VersionName, kind, skill: Number(skill), request }
}

/** The text of one token of an answer that has `count` tokens: the marks first, `end` last. */
export function tokenText (header: AnswerHeader, index: number, count: number): string {
  if (index === 0) return formatAnswerHeader(header)
  return index === count - 1 ? ' end' : ` w${index}`
}

/**
 * Whether a text is the whole answer to the named request.
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

/** The score, 0 to 100, that an answer deserves: 70 where the version's skill equals the difficulty. */
export function trueScore (prompt: string, answer: string): number {
  const skill = parseAnswerHeader(answer)?.skill ?? defaultSkill
  const score = scoreAtEqualSkill + pointsPerSkillUnit * (skill - parsePrompt(prompt).difficulty)
  return Math.min(maximumScore, Math.max(0, score))
}
