/**
 * Learns how long runs of each route take, from their sending to the end of their answers. The latest runs of a
 * route are remembered however long ago they were. A run that is still at work, or that got no answer, shows only
 * how long a run takes at least: it counts where it is longer than those that were answered.
 */
import { dropOldest, getOrCreate } from '../contract/index.ts'

const maximumRoutes = 4_096
const maximumRememberedRuns = 64
/** Share of the runs that are expected to be no longer. */
const usualQuantile = 0.95

interface RouteRuns {
  /** Durations of the latest runs, in milliseconds. */
  readonly ended: number[]
  readonly open: Set<RunDuration>
}

/** The duration of a run in progress. */
export class RunDuration {
  readonly #runs: RouteRuns
  readonly #startedAt: number

  constructor (runs: RouteRuns, startedAt: number) {
    this.#runs = runs
    this.#startedAt = startedAt
    runs.open.add(this)
  }

  /** How long it takes so far, in milliseconds. */
  millisecondsAt (now: number): number {
    return now - this.#startedAt
  }

  /** @param isAnswered whether its answer arrived in full */
  close (isAnswered: boolean, now: number): void {
    const { open, ended } = this.#runs
    const milliseconds = this.millisecondsAt(now)
    open.delete(this)
    // Without any answer nothing is known of the route, however long a run went unanswered.
    const longest = ended.length === 0 ? Infinity : Math.max(...ended)
    if (!isAnswered && milliseconds <= longest) return
    ended.push(milliseconds)
    if (ended.length > maximumRememberedRuns) ended.shift()
  }
}

/**
 * @example
 * const run = runDurations.open('query', now)
 * run.close(true, now + 120)
 * runDurations.longestMilliseconds('query', now + 200) // 120
 */
export class RunDurations {
  readonly #routes = new Map<string, RouteRuns>()

  /** Follows a run that is sent now. */
  open (route: string, now: number): RunDuration {
    const runs = getOrCreate(this.#routes, route, () => ({ ended: [], open: new Set<RunDuration>() }))
    dropOldest(this.#routes, maximumRoutes)
    return new RunDuration(runs, now)
  }

  /** How long most runs of a route take, in milliseconds; undefined if none was answered yet. */
  usualMilliseconds (route: string, now: number): number | undefined {
    const durations = this.#durationsOf(route, now)
    return durations[Math.ceil(usualQuantile * durations.length) - 1]
  }

  /** How long the longest of a route's latest runs took, in milliseconds; undefined if none was answered yet. */
  longestMilliseconds (route: string, now: number): number | undefined {
    return this.#durationsOf(route, now).at(-1)
  }

  /** In ascending order. */
  #durationsOf (route: string, now: number): readonly number[] {
    const { ended, open } = this.#routes.get(route) ?? { ended: [], open: [] }
    if (ended.length === 0) return []
    const longest = Math.max(...ended)
    const longer = [...open].map(run => run.millisecondsAt(now)).filter(milliseconds => milliseconds > longest)
    return [...ended, ...longer].sort((left, right) => left - right)
  }
}
