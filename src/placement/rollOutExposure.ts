/**
 * Exposure: the share of a service's traffic that a new version receives during its roll-out.
 *
 * In the first half the share is small, and sessions that began on the old version stay on it. Then,
 * if there is no evidence against the version, a larger step shows it under load, and finally it
 * receives all traffic. The share is a function of the time since the roll-out's start on the store's
 * clock, so all daemons take the same steps without communicating. Whether a session is in the share
 * depends on its hash, so it never moves back to the old version while the share grows.
 */
import { dropOldest, hashFraction } from '../contract/index.ts'
import type { RoutedEndpoint } from '../routing/index.ts'

/** Steps of a roll-out: the progress from which each applies, and the share of sessions exposed. */
const exposureSteps = [
  { from: 0, share: 0.08 },
  { from: 0.52, share: 0.3 },
  { from: 0.64, share: 1 }
] as const
/** Progress until which sessions keep their version; afterwards they may move to the new one. */
const pinningEndProgress = 0.52
/** Progress from which the roll-out is complete: work on the old version has ended, and time is left before the deadline. */
const completionProgress = 0.84
/** When daemons list the sessions that they keep on the old version, after a roll-out's start. */
export const pinListingDelayMilliseconds = 500
/** The new version gets no traffic for this time after a roll-out's start, so that every daemon has read the others' lists. */
const exposureDelayMilliseconds = 1_800
/** Number of sessions that are remembered. */
const maximumSessions = 5_000

/**
 * Returns the share of sessions that the new version receives.
 *
 * @param progress elapsed share of the roll-out's duration
 */
export function exposureOf (progress: number): number {
  let share = 0
  for (const step of exposureSteps) if (progress >= step.from) share = step.share
  return share
}

/** Whether daemons have had time to exchange the sessions that stay on the old version. */
export function mayExpose (elapsedMilliseconds: number): boolean {
  return elapsedMilliseconds >= exposureDelayMilliseconds
}

/** Whether a roll-out without evidence against its version can be completed. */
export function canComplete (progress: number): boolean {
  return progress >= completionProgress
}

/** How a service's endpoints are split by version during a roll-out. */
export interface VersionSplit {
  readonly toVersion: string
  /** Versions of earlier roll-outs that were reverted; sessions of the old version must not move to them. */
  readonly revertedVersions?: ReadonlySet<string>
  /** Elapsed share of the roll-out's duration; undefined while the new version gets no traffic. */
  readonly progress: number | undefined
  /** Sessions that some daemon served on the old version before the start. */
  readonly pinnedSessions: ReadonlySet<string>
}

/** How a session was last served. */
interface RecordedSession {
  /** The version that a roll-out moved it to; undefined on a service's usual versions. */
  readonly movedTo: string | undefined
  /** When a request of it was last sent to an endpoint, or ended. */
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
  readonly #runningRequests = new Map<string, number>()

  /** @param sessionTimeoutMilliseconds maximum time between two requests of one session */
  constructor (sessionTimeoutMilliseconds: number) {
    this.#sessionTimeoutMilliseconds = sessionTimeoutMilliseconds
  }

  /**
   * Returns the endpoints of the version that serves a request.
   *
   * @param split undefined while no roll-out is ordered
   * @param session undefined for a request without one; `key` is then used instead
   */
  chooseEndpoints (endpoints: readonly RoutedEndpoint[], split: VersionSplit | undefined, session: string | undefined, key: string, now: number): readonly RoutedEndpoint[] {
    if (split === undefined) {
      this.#recordSession(session, undefined, now)
      return endpoints
    }
    const oldEndpoints = oldEndpointsAmong(endpoints, split)
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

  /**
   * Tracks a request of a session, which stays active while the request runs and for its timeout afterwards.
   *
   * @returns a function to be called once, when the request has ended
   */
  trackRequest (session: string | undefined): (now: number) => void {
    if (session === undefined) return () => undefined
    this.#runningRequests.set(session, (this.#runningRequests.get(session) ?? 0) + 1)
    return now => {
      const running = (this.#runningRequests.get(session) ?? 1) - 1
      if (running > 0) this.#runningRequests.set(session, running)
      else this.#runningRequests.delete(session)
      const known = this.#sessions.get(session)
      if (known !== undefined) this.#recordSession(session, known.movedTo, now)
    }
  }

  /** Active sessions on the old version that the first exposure step would move. */
  sessionsToPin (toVersion: string, now: number): readonly string[] {
    return this.activeSessions(new Set([toVersion]), now).filter(session => isInExposedShare(toVersion, session, exposureOf(0)))
  }

  /**
   * Sessions that may still be continued.
   *
   * @param newVersions versions of running roll-outs; sessions that moved to one of them are left out
   * @example
   * const sessions = versions.activeSessions(new Set(['v2']), clock.now())
   */
  activeSessions (newVersions: ReadonlySet<string>, now: number): readonly string[] {
    const active = [...this.#sessions].filter(([session, known]) =>
      (known.movedTo === undefined || !newVersions.has(known.movedTo)) && this.#isActive(session, known, now))
    return active.map(([session]) => session)
  }

  #takesNewVersion ({ toVersion, progress, pinnedSessions }: VersionSplit, session: string | undefined, key: string, now: number): boolean {
    if (progress === undefined) return false
    const isExposed = isInExposedShare(toVersion, session ?? key, exposureOf(progress))
    if (session === undefined) return isExposed
    const known = this.#sessions.get(session)
    const isActive = known !== undefined && this.#isActive(session, known, now)
    if (isActive && known.movedTo === toVersion) return true
    if (progress >= pinningEndProgress) return isExposed
    return isExposed && !isActive && !pinnedSessions.has(session)
  }

  #isActive (session: string, known: RecordedSession, now: number): boolean {
    return this.#runningRequests.has(session) || now - known.lastServedAt <= this.#sessionTimeoutMilliseconds
  }

  #recordSession (session: string | undefined, movedTo: string | undefined, now: number): void {
    if (session === undefined) return
    this.#sessions.delete(session)
    this.#sessions.set(session, { movedTo, lastServedAt: now })
    dropOldest(this.#sessions, maximumSessions)
  }
}

/** Reverted versions serve only where nothing else is left of the old one. */
function oldEndpointsAmong (endpoints: readonly RoutedEndpoint[], { toVersion, revertedVersions }: VersionSplit): readonly RoutedEndpoint[] {
  const notNew = endpoints.filter(endpoint => endpoint.version !== toVersion)
  const kept = notNew.filter(({ version }) => revertedVersions?.has(version) !== true)
  return kept.length > 0 ? kept : notNew
}

function isInExposedShare (toVersion: string, session: string, share: number): boolean {
  return hashFraction(`${toVersion}\n${session}`) < share
}
