/**
 * Learns how long whole answers take, by route and model: the wait for its beginning, the time of each further
 * event, and how many events the longest answers have. Recent streams count most, also those still at work. What a
 * gateway has not seen lately is taken from the route's other models, or from usual values if those are slower, so that a gateway
 * that has just started can expect something, and one that stopped asking a model in time asks it again.
 */
import { getOrCreate } from '../contract/index.ts'
import { DecayingMean } from './decayingMean.ts'

/** Usual time of an event. */
const usualEventMilliseconds = 40
/** Events of a usual pace that count beside those seen. */
const usualEventWeight = 5
/** Responses after the usual wait that count beside those seen. */
const usualWaitWeight = 1
const usualWaitTargetShare = 0.25
/** Usual length of a long answer, in events for each token that its caller allows. */
const usualEventsPerToken = 0.09
/** Answers of usual length that count beside those seen. */
const usualAnswers = 4
const maximumRememberedAnswers = 60
/** Share of the answers that are expected to be no longer. */
const longAnswerQuantile = 0.9
/** A stream that was to have ended is expected to go on for this share of a long answer. */
const minimumRemainingShare = 0.25

/** An answer whose duration is asked for. */
export interface ExpectedAnswer {
  readonly route: string
  readonly model: string
  readonly latencyTargetMilliseconds: number
  /** Most tokens that its caller takes. */
  readonly maximumOutputTokens: number
  /** Events that its caller already received. */
  readonly relayedEvents: number
  /** Least time until its response can begin. */
  readonly leastWaitMilliseconds: number
}

interface ModelTimes {
  readonly wait: DecayingMean
  readonly pace: DecayingMean
}

interface RouteTimes extends ModelTimes {
  readonly models: Map<string, ModelTimes>
  /** Events for each allowed token, of the latest answers. */
  readonly lengths: number[]
}

/**
 * @example
 * answerTimes.recordEvents('query', 'large', 3, 120, now)
 * const milliseconds = answerTimes.expectedMilliseconds({ route: 'query', model: 'large', latencyTargetMilliseconds: 2_000, maximumOutputTokens: 900, relayedEvents: 0, leastWaitMilliseconds: 0 }, now)
 */
export class AnswerTimes {
  readonly #routes = new Map<string, RouteTimes>()

  /** Records how long a run waited until its response began. */
  recordWait (route: string, model: string, milliseconds: number, now: number): void {
    for (const { wait } of this.#timesOf(route, model)) wait.record(milliseconds, 1, now)
  }

  /** Records further events of a run and the time that its gateway waited for them; no events, if it waited in vain. */
  recordEvents (route: string, model: string, count: number, milliseconds: number, now: number): void {
    for (const { pace } of this.#timesOf(route, model)) pace.record(milliseconds, count, now)
  }

  /** Records the length of an answer; of one that broke off, what came of it, which counts only where it was long. */
  recordLength (route: string, events: number, maximumOutputTokens: number, isWhole: boolean): void {
    if (maximumOutputTokens <= 0) return
    const { lengths } = this.#routeTimesOf(route)
    const length = events / maximumOutputTokens
    if (!isWhole && length < longLength(lengths)) return
    lengths.push(length)
    if (lengths.length > maximumRememberedAnswers) lengths.shift()
  }

  /** How long a model is expected to take for the rest of an answer that is as long as most, in milliseconds. */
  expectedMilliseconds ({ route, model, latencyTargetMilliseconds, maximumOutputTokens, relayedEvents, leastWaitMilliseconds }: ExpectedAnswer, now: number): number {
    const [all, own] = this.#timesOf(route, model)
    const usualWait = latencyTargetMilliseconds * usualWaitTargetShare
    const waitOfAll = Math.max(usualWait, all.wait.meanAt(now, usualWait, usualWaitWeight))
    const paceOfAll = Math.max(usualEventMilliseconds, all.pace.meanAt(now, usualEventMilliseconds, usualEventWeight))
    const events = longLength(this.#routeTimesOf(route).lengths) * maximumOutputTokens
    const remainingEvents = Math.max(events - relayedEvents, events * minimumRemainingShare)
    const wait = Math.max(leastWaitMilliseconds, own.wait.meanAt(now, waitOfAll, usualWaitWeight))
    return wait + remainingEvents * own.pace.meanAt(now, paceOfAll, usualEventWeight)
  }

  #timesOf (route: string, model: string): [RouteTimes, ModelTimes] {
    const times = this.#routeTimesOf(route)
    return [times, getOrCreate(times.models, model, () => ({ wait: new DecayingMean(), pace: new DecayingMean() }))]
  }

  #routeTimesOf (route: string): RouteTimes {
    return getOrCreate(this.#routes, route, () => ({ wait: new DecayingMean(), pace: new DecayingMean(), models: new Map(), lengths: [] }))
  }
}

/** Events for each allowed token of a long answer. */
function longLength (lengths: readonly number[]): number {
  const sorted = [...lengths, ...Array<number>(usualAnswers).fill(usualEventsPerToken)].sort((left, right) => left - right)
  return sorted[Math.floor(longAnswerQuantile * (sorted.length - 1))] ?? usualEventsPerToken
}
