/**
 * The endpoints that are not at the address of their registration any more, as all gateways know them. Each
 * request names its endpoint, and whatever else listens at the address rejects it: the endpoint has ended and its
 * address was given to another one. A gateway learns of that from responses to its own requests and from others.
 *
 * Such an incarnation gets no further request until something that only a living endpoint brings about speaks for
 * it: a later heartbeat, or a registration that stays for longer than the store keeps that of an endpoint which
 * has ended. Either may still be wrong, since rows arrive late, so that one request at a time tries it. Its answer
 * gives the endpoint its work back everywhere; a rejection holds until still later evidence.
 *
 * An address is not used again at once. An endpoint that has answered within that time is at its address, so that a
 * rejection must be due to the request: callers can't take a busy endpoint out of service by odd requests.
 *
 * Clocks differ and messages overtake each other. Of two facts on an incarnation at an address the one of the
 * later heartbeat holds, then the one of the higher revision, which is one higher than the newest that its
 * observer knew, then the rejection. Order and repetition of messages therefore do not matter.
 */
import { type Randomness, dropOldest } from '../contract/index.ts'
import { type RoutedEndpoint, instanceKey } from '../routing/index.ts'
import { type MisdirectionChange, type MisdirectionFact, MisdirectionChangeType, MisdirectionSource } from './contract.ts'

const maximumFacts = 2_048
/** Facts that are told at a time, the latest ones. */
const maximumToldFacts = 256
/** What was learnt within this time is told to other gateways. */
const toldMilliseconds = 10_000
/** Longer than any wait for evidence. */
const retentionMilliseconds = 10 * 60_000
/** A trial without any response is followed by another one after this time. */
const trialMilliseconds = 2_000
/** Endpoints whose last answer is remembered. */
const maximumAnswers = 4_096
/** Share of the time before an address is used again that an answer counts for; the rest is for clocks and late answers. */
const answerShare = 0.5
/** After each further rejection in a row the wait for a registration that stays is twice as long, up to this factor. */
const maximumWaitFactor = 16

interface HeldFact {
  readonly fact: MisdirectionFact
  readonly learntAt: number
  /** Rejections in a row, as far as this gateway heard of them. */
  readonly rejections: number
  /** For how long the registration has to stay to speak for the endpoint; unlike at each gateway, so that one of them tries it first. */
  readonly waitMilliseconds: number
  /** When a request was last sent on trial. */
  readonly triedAt: number
}

export interface MisdirectedEndpointsOptions {
  /** How long the registration of an endpoint that has ended may stay while the store is followed, in milliseconds. */
  readonly registrationMilliseconds: () => number
  /** Since when the store has been followed without a break; infinite while it is not. */
  readonly followedSince: () => number
  /** Time for which the address of an endpoint that has ended is not given to another one, in milliseconds. */
  readonly addressReuseMilliseconds: () => number
  readonly randomness: Randomness
  /** Called after each change of an endpoint's standing. */
  readonly onChange?: (change: MisdirectionChange) => void
}

/** An endpoint as its registration names it. */
type RegisteredEndpoint = Pick<RoutedEndpoint, 'identity' | 'bornAt' | 'address' | 'heartbeat'>

/**
 * @example
 * if (misdirected.recordRejection(endpoint, sentAt, now)) tellOthers()
 * const mayChoose = !misdirected.isMisdirected(endpoint, now)
 */
export class MisdirectedEndpoints {
  readonly #options: MisdirectedEndpointsOptions
  readonly #facts = new Map<string, HeldFact>()
  /** When the last request was sent that an endpoint has answered at its address. */
  readonly #answeredSentAt = new Map<string, number>()

  constructor (options: MisdirectedEndpointsOptions) {
    this.#options = options
  }

  /** Whether an endpoint gets no request now, since its address answers for another one. */
  isMisdirected (endpoint: RegisteredEndpoint, now: number): boolean {
    const held = this.#doubted(endpoint)
    if (held === undefined) return false
    const isBeingTried = now - held.triedAt < trialMilliseconds
    return isBeingTried || this.#evidenceFor(endpoint, held, now) === undefined
  }

  /** Records that a request is sent to an endpoint that may receive one. If it is in doubt, no other follows before its response. */
  recordSent (endpoint: RegisteredEndpoint, now: number): void {
    const held = this.#doubted(endpoint)
    const source = held === undefined ? undefined : this.#evidenceFor(endpoint, held, now)
    if (held === undefined || source === undefined) return
    this.#facts.set(keyOf(held.fact), { ...held, triedAt: now })
    this.#options.onChange?.({ type: MisdirectionChangeType.AddressTried, fact: held.fact, source })
  }

  /** Whether an endpoint answered so lately that no other one can have its address yet. */
  hasJustAnswered (endpoint: RegisteredEndpoint, now: number): boolean {
    return this.#hasJustAnswered(keyOfEndpoint(endpoint), now)
  }

  /**
   * Records that whatever listens at an endpoint's address is not that endpoint.
   *
   * @param sentAt when the rejected request was sent; only one that was sent after the latest fact tells anything
   * @returns whether other gateways should be told
   */
  recordRejection (endpoint: RegisteredEndpoint, sentAt: number, now: number): boolean {
    const held = this.#heldOn(endpoint)
    const isOlder = held !== undefined && heartbeatOf(endpoint) <= held.fact.heartbeat && sentAt <= held.learntAt
    if (isOlder) return false
    this.#learn(this.#nextFact(endpoint, true), MisdirectionSource.Response, now)
    return true
  }

  /**
   * Records that an endpoint has answered at its address.
   *
   * @param sentAt when the answered request was sent; only one that was sent after the rejection tells anything
   * @returns whether other gateways should be told
   */
  recordAnswer (endpoint: RegisteredEndpoint, sentAt: number, now: number): boolean {
    this.#rememberAnswer(keyOfEndpoint(endpoint), sentAt)
    const held = this.#doubted(endpoint)
    if (held === undefined || sentAt <= held.learntAt) return false
    this.#learn(this.#nextFact(endpoint, false), MisdirectionSource.Response, now)
    return true
  }

  /** Merges what another gateway told; returns whether any of it was news. */
  merge (facts: readonly MisdirectionFact[], now: number): boolean {
    let isNews = false
    for (const fact of facts) isNews = this.#mergeFact(fact, now) || isNews
    return isNews
  }

  /** What was learnt lately, for gateways that are likely to know the rest. */
  news (now: number): readonly MisdirectionFact[] {
    const recent = [...this.#facts.values()].filter(({ learntAt }) => now - learntAt < toldMilliseconds)
    return recent.slice(-maximumToldFacts).map(({ fact }) => fact)
  }

  /** Everything, for a gateway that has just started. */
  all (now: number): readonly MisdirectionFact[] {
    this.#forgetOld(now)
    return [...this.#facts.values()].map(({ fact }) => fact)
  }

  /** The fact that speaks against an endpoint; undefined without one. */
  #doubted (endpoint: RegisteredEndpoint): HeldFact | undefined {
    const held = this.#heldOn(endpoint)
    return held?.fact.isMisdirected === true ? held : undefined
  }

  #heldOn (endpoint: RegisteredEndpoint): HeldFact | undefined {
    return this.#facts.get(keyOfEndpoint(endpoint))
  }

  /** What speaks for an endpoint that was rejected; undefined if nothing does. */
  #evidenceFor (endpoint: RegisteredEndpoint, { fact, learntAt, waitMilliseconds }: HeldFact, now: number): MisdirectionSource | undefined {
    if (heartbeatOf(endpoint) > fact.heartbeat) return MisdirectionSource.Heartbeat
    const knownSince = Math.max(learntAt, this.#options.followedSince())
    return now - knownSince >= waitMilliseconds ? MisdirectionSource.Registration : undefined
  }

  #nextFact (endpoint: RegisteredEndpoint, isMisdirected: boolean): MisdirectionFact {
    const place = { instance: instanceKey(endpoint), address: endpoint.address }
    const known = this.#facts.get(keyOf(place))?.fact
    const heartbeat = Math.max(heartbeatOf(endpoint), known?.heartbeat ?? Number.NEGATIVE_INFINITY)
    return { ...place, heartbeat, revision: (known?.revision ?? 0) + 1, isMisdirected }
  }

  #mergeFact (fact: MisdirectionFact, now: number): boolean {
    const known = this.#facts.get(keyOf(fact))?.fact
    const isNews = known === undefined || takesPrecedence(fact, known)
    if (!isNews) return false
    const isRefuted = fact.isMisdirected && this.#hasJustAnswered(keyOf(fact), now)
    this.#learn(isRefuted ? { ...fact, revision: fact.revision + 1, isMisdirected: false } : fact, MisdirectionSource.Peer, now)
    return true
  }

  #hasJustAnswered (key: string, now: number): boolean {
    const sentAt = this.#answeredSentAt.get(key)
    return sentAt !== undefined && now - sentAt < this.#options.addressReuseMilliseconds() * answerShare
  }

  #rememberAnswer (key: string, sentAt: number): void {
    const before = this.#answeredSentAt.get(key) ?? sentAt
    this.#answeredSentAt.delete(key)
    this.#answeredSentAt.set(key, Math.max(before, sentAt))
    dropOldest(this.#answeredSentAt, maximumAnswers)
  }

  #learn (fact: MisdirectionFact, source: MisdirectionSource, now: number): void {
    this.#forgetOld(now)
    const key = keyOf(fact)
    const before = this.#facts.get(key)
    const wasMisdirected = before?.fact.isMisdirected ?? false
    const rejections = fact.isMisdirected ? (before?.rejections ?? 0) + 1 : 0
    this.#facts.delete(key)
    this.#facts.set(key, { fact, learntAt: now, rejections, waitMilliseconds: this.#waitAfter(rejections), triedAt: Number.NEGATIVE_INFINITY })
    dropOldest(this.#facts, maximumFacts)
    if (fact.isMisdirected === wasMisdirected) return
    const type = fact.isMisdirected ? MisdirectionChangeType.AddressLost : MisdirectionChangeType.AddressConfirmed
    this.#options.onChange?.({ type, fact, source })
  }

  #waitAfter (rejections: number): number {
    const { randomness, registrationMilliseconds } = this.#options
    const factor = Math.min(maximumWaitFactor, 2 ** (rejections - 1))
    return registrationMilliseconds() * factor * (1 + randomness.fraction())
  }

  #forgetOld (now: number): void {
    for (const [key, { learntAt }] of this.#facts) {
      if (now - learntAt > retentionMilliseconds) this.#facts.delete(key)
    }
  }
}

function keyOfEndpoint (endpoint: RegisteredEndpoint): string {
  return keyOf({ instance: instanceKey(endpoint), address: endpoint.address })
}

function keyOf ({ instance, address }: Pick<MisdirectionFact, 'instance' | 'address'>): string {
  return `${instance} ${address}`
}

function heartbeatOf ({ heartbeat = 0 }: RegisteredEndpoint): number {
  return heartbeat
}

function takesPrecedence (fact: MisdirectionFact, known: MisdirectionFact): boolean {
  if (fact.heartbeat !== known.heartbeat) return fact.heartbeat > known.heartbeat
  if (fact.revision !== known.revision) return fact.revision > known.revision
  return fact.isMisdirected && !known.isMisdirected
}
