/** What this gateway has learnt and not told yet: an update for peers, small however much is known in all. */
import { dropOldest } from '../contract/index.ts'
import { type CrashReport, type PartAnswer, type PartBlock, partKey } from './contract.ts'

/** What gateways tell each other. */
export interface BreakerNews {
  readonly reports: readonly CrashReport[]
  readonly blocks: readonly PartBlock[]
  readonly answers: readonly PartAnswer[]
}

/** Number of items of each sort that wait to be told, the last ones; the others are told when gateways compare what they know. */
const maximumWaiting = 256

export class FreshNews {
  readonly #reports = new Map<string, CrashReport>()
  readonly #blocks = new Map<string, PartBlock>()
  readonly #answers = new Map<string, PartAnswer>()

  addReport (report: CrashReport): void {
    this.#reports.set(`${report.instance}\n${report.reporter}\n${report.crashedAt}`, report)
    dropOldest(this.#reports, maximumWaiting)
  }

  addBlock (block: PartBlock): void {
    this.#blocks.set(partKey(block), block)
    dropOldest(this.#blocks, maximumWaiting)
  }

  addAnswer (answer: PartAnswer): void {
    this.#answers.set(partKey(answer), answer)
    dropOldest(this.#answers, maximumWaiting)
  }

  /** Returns what was added since the last call. */
  take (): BreakerNews {
    const news = { reports: [...this.#reports.values()], blocks: [...this.#blocks.values()], answers: [...this.#answers.values()] }
    this.#reports.clear()
    this.#blocks.clear()
    this.#answers.clear()
    return news
  }
}
