/**
 * The limits that endpoints announce, as all gateways know them. A gateway learns of a limit from responses to
 * its own requests and from other gateways.
 *
 * Responses overtake each other and clocks differ, so no time decides which of two observations is newer. Each
 * change gets a revision, one higher than the newest that its observer knows, and the highest revision holds
 * everywhere; at equal revisions the lower limit holds. Order and repetition of messages therefore do not
 * matter. A limit ends only by a response to a request that was sent after the limit was last heard of.
 *
 * A gateway that still sees a limit renews its revision from time to time. A limit that nobody renews lapses,
 * so nothing is kept of endpoints that are gone or that nobody asks any more.
 */
import { dropOldest } from '../contract/index.ts'
import type { KnownLimit, LimitChange, LimitFact, RateAnnouncement } from './contract.ts'

const renewalMilliseconds = 20_000
/** A limit lapses after a few renewals that did not come. */
const lapseMilliseconds = 3 * renewalMilliseconds
/** An ended limit is remembered for longer than any gateway may still take it to be in force. */
const retentionMilliseconds = 2 * lapseMilliseconds
/** What was learnt within this time is told to other gateways. */
const toldMilliseconds = 10_000
const maximumFacts = 4_096

interface HeldFact {
  readonly fact: LimitFact
  /** The limit in force, or the one before it ended. */
  readonly requestsPerSecond: number
  /** When this gateway learnt the fact's revision. */
  readonly learntAt: number
  /** When this gateway last heard that the limit is in force, from the endpoint itself or from another gateway. */
  heardAt: number
}

/** A response, as far as it says something of its endpoint's limit. */
export interface LimitObservation {
  readonly instance: string
  readonly announcement: RateAnnouncement
  /** When the request was sent. */
  readonly sentAt: number
  /** Whether the endpoint served the request; one that refuses or fails shows no end of its limit. */
  readonly isServed: boolean
}

/**
 * @example
 * const change = limits.observe({ instance, announcement, sentAt, isServed: true }, now)
 * if (change !== undefined) tellOthers()
 */
export class AnnouncedLimits {
  readonly #facts = new Map<string, HeldFact>()
  readonly #onChange: (change: LimitChange) => void

  /** @param onChange called after each change of a limit */
  constructor (onChange: (change: LimitChange) => void = () => undefined) {
    this.#onChange = onChange
  }

  /**
   * Records what a response says.
   *
   * @returns whether other gateways should be told
   */
  observe ({ instance, announcement, sentAt, isServed }: LimitObservation, now: number): boolean {
    if (announcement.type === 'unreadable') return false
    const held = this.#inForce(instance, now)
    if (announcement.type === 'limited') return this.#observeLimit(instance, announcement.requestsPerSecond, now)
    const isNewer = held !== undefined && isServed && sentAt > held.heardAt
    return isNewer && this.#learn({ instance, revision: held.fact.revision + 1, requestsPerSecond: undefined }, now)
  }

  /** Merges what another gateway told; returns whether any of it was news. */
  merge (facts: readonly LimitFact[], now: number): boolean {
    let isNews = false
    for (const fact of facts) isNews = this.#mergeFact(fact, now) || isNews
    return isNews
  }

  /** The limit of an endpoint; undefined if it has none and had none lately. */
  of (instance: string, now: number): KnownLimit | undefined {
    const held = this.#facts.get(instance)
    if (held === undefined) return undefined
    return { requestsPerSecond: held.requestsPerSecond, endedAt: endOf(held, now) }
  }

  /** What was learnt lately, for gateways that are likely to know the rest. */
  news (now: number): readonly LimitFact[] {
    return [...this.#facts.values()].filter(({ learntAt }) => now - learntAt < toldMilliseconds).map(({ fact }) => fact)
  }

  /** Everything, for a gateway that has just started. */
  all (now: number): readonly LimitFact[] {
    this.#forgetOld(now)
    return [...this.#facts.values()].map(({ fact }) => fact)
  }

  /** Whether no limit is known. */
  get isEmpty (): boolean {
    return this.#facts.size === 0
  }

  #observeLimit (instance: string, requestsPerSecond: number, now: number): boolean {
    const held = this.#inForce(instance, now)
    const isKnown = held?.requestsPerSecond === requestsPerSecond
    if (held !== undefined && isKnown) held.heardAt = now
    if (held !== undefined && isKnown && now - held.learntAt < renewalMilliseconds) return false
    const revision = (this.#facts.get(instance)?.fact.revision ?? 0) + 1
    return this.#learn({ instance, revision, requestsPerSecond }, now)
  }

  #mergeFact (fact: LimitFact, now: number): boolean {
    const known = this.#facts.get(fact.instance)?.fact
    if (known === undefined && fact.requestsPerSecond === undefined) return false
    return (known === undefined || takesPrecedence(fact, known)) && this.#learn(fact, now)
  }

  #learn (fact: LimitFact, now: number): boolean {
    this.#forgetOld(now)
    const before = this.#inForce(fact.instance, now)?.requestsPerSecond
    const requestsPerSecond = fact.requestsPerSecond ?? before ?? this.#facts.get(fact.instance)?.requestsPerSecond ?? 0
    this.#facts.delete(fact.instance)
    this.#facts.set(fact.instance, { fact, requestsPerSecond, learntAt: now, heardAt: now })
    dropOldest(this.#facts, maximumFacts)
    if (fact.requestsPerSecond !== before) this.#onChange({ fact, before })
    return true
  }

  #inForce (instance: string, now: number): HeldFact | undefined {
    const held = this.#facts.get(instance)
    return held !== undefined && endOf(held, now) === undefined ? held : undefined
  }

  #forgetOld (now: number): void {
    for (const [instance, { learntAt }] of this.#facts) {
      if (now - learntAt > lapseMilliseconds + retentionMilliseconds) this.#facts.delete(instance)
    }
  }
}

/** When a limit ended or lapsed; undefined while it is in force. */
function endOf ({ fact, learntAt }: HeldFact, now: number): number | undefined {
  if (fact.requestsPerSecond === undefined) return learntAt
  const lapsesAt = learntAt + lapseMilliseconds
  return now < lapsesAt ? undefined : lapsesAt
}

function takesPrecedence (fact: LimitFact, known: LimitFact): boolean {
  if (fact.revision !== known.revision) return fact.revision > known.revision
  return (fact.requestsPerSecond ?? Number.POSITIVE_INFINITY) < (known.requestsPerSecond ?? Number.POSITIVE_INFINITY)
}
