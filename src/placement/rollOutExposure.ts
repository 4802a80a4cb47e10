/**
 * Exposure: the share of a service's traffic that a new version receives during its roll-out.
 *
 * Until shortly before the end the share is small, and in the first half sessions that began on the old
 * version stay on it. Then, if there is no doubt about the version, it receives all traffic. What a version
 * that is bad in a way that cannot be seen would get is thereby bounded beforehand. The share is a function
 * of the time since the roll-out's start on the store's clock and of the evidence that all daemons read, so
 * they take the same steps without further communication. Whether a session is in the share
 * depends on its hash, so it never moves back to the old version while the share grows.
 */
import { dropOldest, hashFraction } from '../contract/index.ts'
import type { RoutedEndpoint } from '../routing/index.ts'

/** From when daemons list the sessions that they keep on the old version, after a roll-out's start. */
export const pinListingDelayMilliseconds = 500
/** The new version gets no traffic for this time after a roll-out's start, so that every daemon has read the others' lists. */
const exposureDelayMilliseconds = 1_800
/** Share of a roll-out until which sessions keep their version; afterwards they may move to the new one. */
const pinningEndShare = 0.52
/** All traffic moves so long before the end of a roll-out, but not in its first half. */
const allTrafficLeadMilliseconds = 1_700
const earliestAllTrafficShare = 0.5
/** A roll-out is completed so long before its end: work on the old version has ended, and the store has time. */
const completionLeadMilliseconds = 1_100
const earliestCompletionShare = 0.75
const minimumTrialShare = 0.02
const maximumTrialShare = 0.3
/** Number of sessions that are remembered. */
const maximumSessions = 5_000

/** The part of a service's traffic that a new version gets at some moment. */
export interface Exposure {
  /** Share of all sessions, 0 to 1. */
  readonly share: number
  /** Whether sessions that began on the old version may move. */
  readonly movesSessions: boolean
}

/**
 * The steps of one roll-out, in milliseconds since its start. The trial's share is as large as the exposure
 * allowed to a bad version that is never found: over the whole duration it gets no more than that.
 *
 * @example
 * const schedule = new RollOutSchedule(16_000, 0.15)
 * const exposure = schedule.exposureAt(elapsedMilliseconds, view.isDoubted(order))
 */
export class RollOutSchedule {
  /** Share of the traffic on trial. */
  readonly trialShare: number
  readonly allTrafficAt: number
  readonly completionAt: number
  readonly #pinningEndsAt: number

  /** @param exposureLimit share of all requests of a roll-out that a bad version may get */
  constructor (durationMilliseconds: number, exposureLimit: number) {
    this.allTrafficAt = Math.max(durationMilliseconds * earliestAllTrafficShare, durationMilliseconds - allTrafficLeadMilliseconds)
    this.completionAt = Math.max(durationMilliseconds * earliestCompletionShare, durationMilliseconds - completionLeadMilliseconds)
    this.#pinningEndsAt = durationMilliseconds * pinningEndShare
    const millisecondsOnTrial = Math.max(1, this.allTrafficAt - exposureDelayMilliseconds)
    const millisecondsAllowed = durationMilliseconds * exposureLimit - (durationMilliseconds - this.allTrafficAt)
    this.trialShare = Math.min(maximumTrialShare, Math.max(minimumTrialShare, millisecondsAllowed / millisecondsOnTrial))
  }

  /** The exposure of a version; undefined while it gets no traffic. One that is doubted stays on trial. */
  exposureAt (elapsedMilliseconds: number, isDoubted: boolean): Exposure | undefined {
    if (elapsedMilliseconds < exposureDelayMilliseconds) return undefined
    const getsAll = elapsedMilliseconds >= this.allTrafficAt && !isDoubted
    return { share: getsAll ? 1 : this.trialShare, movesSessions: elapsedMilliseconds >= this.#pinningEndsAt }
  }
}

/** The exposure of a version whose roll-out is complete. */
export const fullExposure: Exposure = { share: 1, movesSessions: true }

/** How a service's endpoints are split by version during a roll-out. */
export interface VersionSplit {
  readonly toVersion: string
  /** Versions of earlier roll-outs that were reverted; sessions of the old version must not move to them. */
  readonly revertedVersions?: ReadonlySet<string>
  /** Undefined while the new version gets no traffic. */
  readonly exposure: Exposure | undefined
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
 * const able = versions.choose(endpoints, { toVersion: 'v2', exposure, pinnedSessions }, 'session-7', key, now)
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
    if (endpoints.length === 0) return endpoints
    const takesNewVersion = newEndpoints.length > 0 && (oldEndpoints.length === 0 || this.#takesNewVersion(split, session, key, now))
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

  /** Active sessions on the old version that a trial with a share of the traffic would move. */
  sessionsToPin (toVersion: string, trialShare: number, now: number): readonly string[] {
    return this.activeSessions(new Set([toVersion]), now).filter(session => isInExposedShare(toVersion, session, trialShare))
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

  #takesNewVersion ({ toVersion, exposure, pinnedSessions }: VersionSplit, session: string | undefined, key: string, now: number): boolean {
    if (exposure === undefined) return false
    const isExposed = isInExposedShare(toVersion, session ?? key, exposure.share)
    if (session === undefined) return isExposed
    const known = this.#sessions.get(session)
    const isActive = known !== undefined && this.#isActive(session, known, now)
    if (isActive && known.movedTo === toVersion) return true
    if (exposure.movesSessions) return isExposed
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
