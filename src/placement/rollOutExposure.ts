/**
 * How much of a service's traffic a new version takes during its roll-out.
 *
 * A small share for the first half, in which sessions that began on the old version stay with it;
 * then, if nothing speaks against the version, a larger step that shows it under load, and all. The
 * share follows from the time since the roll-out's start on the store's clock, so all daemons take
 * the same steps without talking; a session's place in the share follows from its hash, so it never
 * turns back while the share grows.
 */
import { hashOf } from '../contract/index.ts'
import type { RoutedEndpoint } from '../routing/index.ts'

/** Steps of a roll-out: from which part of its duration on, which share of sessions. */
const exposureSteps = [
  { from: 0, share: 0.08 },
  { from: 0.52, share: 0.3 },
  { from: 0.64, share: 1 }
] as const
/** Sessions keep their version until here; afterwards they may move on to the new one. */
const pinningEndProgress = 0.52
/** The roll-out is finished here: work on the old version has ended, and time is left before its deadline. */
const completionProgress = 0.84
/** Sessions remembered. */
const maximumSessions = 5_000

/**
 * The share of sessions that the new version takes.
 *
 * @param progress part of the roll-out's duration that has passed
 */
export function exposureOf (progress: number): number {
  let share = 0
  for (const step of exposureSteps) if (progress >= step.from) share = step.share
  return share
}

/** Whether a roll-out that nothing speaks against can be called complete. */
export function canComplete (progress: number): boolean {
  return progress >= completionProgress
}

/** A service's endpoints while a roll-out runs. */
export interface VersionSplit {
  readonly toVersion: string
  /** Part of the roll-out's duration that has passed; undefined before its start. */
  readonly progress: number | undefined
  /** Sessions that some daemon served on the old version before the start. */
  readonly pinnedSessions: ReadonlySet<string>
}

/** A session as it was last served. */
interface RecordedSession {
  /** The version that a roll-out moved it to; undefined on a service's usual versions. */
  readonly movedTo: string | undefined
  readonly lastServedAt: number
}

/**
 * Chooses the version of each session.
 *
 * @example
 * const able = versions.choose(endpoints, { toVersion: 'v2', progress: 0.1, pinned }, 'session-7', key, now)
 */
export class VersionSelector {
  readonly #sessionTimeoutMilliseconds: number
  readonly #sessions = new Map<string, RecordedSession>()

  /** @param sessionTimeoutMilliseconds within which requests of a session belong together */
  constructor (sessionTimeoutMilliseconds: number) {
    this.#sessionTimeoutMilliseconds = sessionTimeoutMilliseconds
  }

  /**
   * The endpoints of the version that a request takes.
   *
   * @param split undefined while no roll-out is ordered
   * @param session undefined for a request without one; `key` then stands for it
   */
  chooseEndpoints (endpoints: readonly RoutedEndpoint[], split: VersionSplit | undefined, session: string | undefined, key: string, now: number): readonly RoutedEndpoint[] {
    if (split === undefined) {
      this.#recordSession(session, undefined, now)
      return endpoints
    }
    const oldEndpoints = endpoints.filter(endpoint => endpoint.version !== split.toVersion)
    const newEndpoints = endpoints.filter(endpoint => endpoint.version === split.toVersion)
    if (oldEndpoints.length === 0) return newEndpoints
    if (newEndpoints.length === 0) {
      this.#recordSession(session, undefined, now)
      return oldEndpoints
    }
    const takesNewVersion = this.#takesNewVersion(split, session, key, now)
    this.#recordSession(session, takesNewVersion ? split.toVersion : undefined, now)
    return takesNewVersion ? newEndpoints : oldEndpoints
  }

  /** Sessions that live on the old version and that a roll-out's first share would move. */
  sessionsToPin (toVersion: string, now: number): readonly string[] {
    const active = [...this.#sessions].filter(([session, known]) =>
      known.movedTo !== toVersion && this.#isActive(known, now) && isInExposedShare(toVersion, session, exposureOf(0)))
    return active.map(([session]) => session)
  }

  #takesNewVersion ({ toVersion, progress, pinnedSessions: pinned }: VersionSplit, session: string | undefined, key: string, now: number): boolean {
    if (progress === undefined) return false
    const isExposed = isInExposedShare(toVersion, session ?? key, exposureOf(progress))
    if (session === undefined) return isExposed
    const known = this.#sessions.get(session)
    const isActive = known !== undefined && this.#isActive(known, now)
    if (isActive && known.movedTo === toVersion) return true
    if (progress >= pinningEndProgress) return isExposed
    return isExposed && !isActive && !pinned.has(session)
  }

  #isActive (known: RecordedSession, now: number): boolean {
    return now - known.lastServedAt <= this.#sessionTimeoutMilliseconds
  }

  #recordSession (session: string | undefined, movedTo: string | undefined, now: number): void {
    if (session === undefined) return
    this.#sessions.delete(session)
    this.#sessions.set(session, { movedTo, lastServedAt: now })
    const [oldest] = this.#sessions.keys()
    if (this.#sessions.size > maximumSessions && oldest !== undefined) this.#sessions.delete(oldest)
  }
}

function isInExposedShare (toVersion: string, session: string, share: number): boolean {
  return hashOf(`${toVersion}\n${session}`) < share
}
