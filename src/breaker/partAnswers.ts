/**
 * Remembers which prompt parts were answered well. A part that stood in an answered prompt does not crash
 * endpoints, whichever prompts it shares with one that does.
 */
import { dropOldest } from '../contract/index.ts'
import { type OrganisationPart, type PartAnswer, partKey } from './contract.ts'

/** A part counts as sound for this time after a good answer. */
const soundMilliseconds = 120_000
/** Number of parts that are remembered, the last answered ones. */
const maximumParts = 4_096

export class PartAnswers {
  readonly #answers = new Map<string, PartAnswer>()

  /** Records a good answer; an earlier one than is known changes nothing. */
  record (answer: PartAnswer): void {
    const key = partKey(answer)
    const known = this.#answers.get(key)
    if (known !== undefined && known.answeredAt >= answer.answeredAt) return
    this.#answers.delete(key)
    this.#answers.set(key, answer)
    dropOldest(this.#answers, maximumParts)
  }

  /** The last good answer to a prompt with a part. */
  lastAnswer (part: OrganisationPart): PartAnswer | undefined {
    return this.#answers.get(partKey(part))
  }

  /** Whether a part was answered well shortly before a time, or after it. */
  isSound (part: OrganisationPart, at: number): boolean {
    const answer = this.lastAnswer(part)
    return answer !== undefined && answer.answeredAt >= at - soundMilliseconds
  }
}
