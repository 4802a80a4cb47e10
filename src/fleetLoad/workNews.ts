/** What a gateway was last told of the work of the others, and how old it is. */
import { type EndpointWork, type OthersWork, loadKey, noWork } from './contract.ts'
import type { SummedWork } from './workSums.ts'

/** Older news is not used. */
export const maximumNewsAgeMilliseconds = 3_000

export class WorkNews implements OthersWork {
  #news: SummedWork = { work: new Map(), ageMilliseconds: 0 }
  #askedAt = Number.NEGATIVE_INFINITY

  /**
   * Records an answer; its age counts from its question, so that no wait on the way makes it look newer.
   */
  record (news: SummedWork, askedAt: number): void {
    this.#news = news
    this.#askedAt = askedAt
  }

  /** Age of the oldest part of the news, in milliseconds; infinite without any. */
  ageMilliseconds (now: number): number {
    return now - this.#askedAt + this.#news.ageMilliseconds
  }

  isFresh (now: number): boolean {
    return now - this.#askedAt <= maximumNewsAgeMilliseconds
  }

  workAt (instance: string, now: number): EndpointWork | undefined {
    if (!this.isFresh(now)) return undefined
    return this.#news.work.get(loadKey(instance)) ?? noWork
  }
}
