/** What the callers of a soak do, drawn from its seed: what they ask for, how far ahead they send and how they treat a connection. */
import type { Randomness } from '../../src/contract/index.ts'
import type { AskedRun } from './askedRun.ts'

/** How a caller treats a connection besides sending on it. */
export const CallerHabit = {
  /** Reads nothing for a while after it has sent. */
  ReadLate: 'read_late',
  /** Ends its own side right behind a request. */
  HalfClose: 'half_close',
  /** Resets the connection while answers are due. */
  Reset: 'reset',
  /** Sends a long body slowly. */
  SlowBody: 'slow_body',
  /** Sends its bytes in small pieces. */
  SmallPieces: 'small_pieces'
} as const
export type CallerHabit = typeof CallerHabit[keyof typeof CallerHabit]

/** A route that callers may use. */
export interface SoakRoute {
  readonly prefix: string
  readonly isStream: boolean
  /** Whether a request may run more than once. */
  readonly isRepeatable: boolean
  /** Whether another run may go on after a stream's last event. */
  readonly isResumable: boolean
  readonly timeoutMilliseconds: number
}

/** What callers may ask for at the moment. */
export interface CallerChoices {
  readonly routes: readonly SoakRoute[]
  /** API keys of several organisations. */
  readonly keys: readonly string[]
}

/** One request that is to be sent. */
export interface PlannedRequest {
  readonly route: SoakRoute
  readonly run: AskedRun
  readonly key: string
  readonly deadlineMilliseconds: number
  readonly bodyLength: number
  /** Whether its body is a long one, which is sent slowly. */
  readonly isLong: boolean
}

/** What is sent at once, each request ahead of the answers to those before it. */
export interface PlannedBurst {
  readonly requests: readonly PlannedRequest[]
  readonly habit: CallerHabit | undefined
  /** How long the habit holds its caller up. */
  readonly habitMilliseconds: number
  /** How long the connection rests after the answers. */
  readonly restMilliseconds: number
}

const maximumAhead = 6
const shareOfStreams = 0.5
const shareOfBurstsAhead = 0.4
const shareOfHabits = 0.35
const habits = Object.values(CallerHabit)
const deadlinesMilliseconds = [400, 800, 1_500, 3_000, 6_000, 10_000]
const plainWorkMilliseconds = [5, 20, 60, 200, 500]
const eventCounts = [2, 4, 8, 12]
/** Below the largest gap of any route. */
const eventGapsMilliseconds = [20, 60, 150, 250]
const maximumBodyBytes = 400
const longBodyBytes = 48_000
const maximumHabitMilliseconds = 1_500
const maximumRestMilliseconds = 800

/**
 * @example
 * const burst = new CallerPlan(new SeededRandomness(7), () => ({ routes, keys: ['good-key'] })).burst()
 */
export class CallerPlan {
  readonly #randomness: Randomness
  readonly #choices: () => CallerChoices

  constructor (randomness: Randomness, choices: () => CallerChoices) {
    this.#randomness = randomness
    this.#choices = choices
  }

  /** One request, or a first one, mostly a stream, with up to five behind it. */
  burst (): PlannedBurst {
    const isAhead = this.#randomness.fraction() < shareOfBurstsAhead
    const habit = this.#randomness.fraction() < shareOfHabits ? this.pick(habits) : undefined
    const count = isAhead ? 2 + this.#randomness.integerBelow(maximumAhead - 1) : 1
    const requests = Array.from({ length: count }, (_, index) => this.#request(index === 0, habit))
    return {
      requests,
      habit,
      habitMilliseconds: this.#randomness.integerBelow(maximumHabitMilliseconds),
      restMilliseconds: this.#randomness.integerBelow(maximumRestMilliseconds)
    }
  }

  /** An equally likely choice. */
  pick <Item> (items: readonly Item[]): Item {
    const item = items[this.#randomness.integerBelow(items.length)]
    if (item === undefined) throw new Error('cannot choose from an empty list')
    return item
  }

  #request (isFirst: boolean, habit: CallerHabit | undefined): PlannedRequest {
    const isStream = isFirst && this.#randomness.fraction() < shareOfStreams
    const { routes, keys } = this.#choices()
    const route = this.pick(routes.filter(each => each.isStream === isStream))
    const isLong = isFirst && habit === CallerHabit.SlowBody
    return {
      route,
      run: isStream ? this.#streamRun(route.prefix) : { prefix: route.prefix, eventCount: 0, workMilliseconds: this.pick(plainWorkMilliseconds) },
      key: this.pick(keys),
      deadlineMilliseconds: this.pick(deadlinesMilliseconds),
      bodyLength: isLong ? longBodyBytes : this.#randomness.integerBelow(maximumBodyBytes),
      isLong
    }
  }

  #streamRun (prefix: string): AskedRun {
    return { prefix, eventCount: this.pick(eventCounts), workMilliseconds: this.pick(eventGapsMilliseconds) }
  }
}
