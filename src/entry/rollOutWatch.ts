/**
 * Watches the roll-outs in force from what this daemon sees. Its guard may stop new sessions of a
 * version here at once; the stop is made durable by a settings write, which any daemon may do, since
 * racing writes are settled by the subtree's revision.
 */
import type { VersionName } from '../contract/index.ts'
import { type RollOutEvidence, type RollOutGuard, RollOutVerdict } from '../choice/index.ts'
import type { SettingsSource } from '../distribution/index.ts'
import { RollOutState, type RollOutView } from '../settings/index.ts'

/** Makes the guard of a roll-out. */
export type GuardMaker = (from: VersionName, to: VersionName) => RollOutGuard

/** A guard and the roll-out that it watches. */
interface Watched {
  readonly rollOut: RollOutView
  readonly guard: RollOutGuard
  halted: boolean
}

/**
 * The guards of all running roll-outs.
 *
 * @example
 * if (watch.stopped('small@4')) takeTheOldVersion()
 */
export class RollOutWatch {
  readonly #settings: SettingsSource
  readonly #makeGuard: GuardMaker
  readonly #watched = new Map<string, Watched>()

  constructor (settings: SettingsSource, makeGuard: GuardMaker) {
    this.#settings = settings
    this.#makeGuard = makeGuard
  }

  /** Learns from an answer or a failure. */
  observe (evidence: RollOutEvidence): void {
    for (const watched of this.#running()) {
      const { from, to } = watched.rollOut
      if (evidence.version === from || evidence.version === to) watched.guard.observe(evidence)
    }
  }

  /** Whether this daemon gives a version no new session. */
  stopped (version: VersionName): boolean {
    return this.#running().some(watched => watched.rollOut.to === version && watched.halted)
  }

  /**
   * What each running roll-out should do now. A halt stays a halt here.
   *
   * @param now milliseconds since the epoch
   */
  verdicts (now: number): Array<{ readonly rollOut: RollOutView, readonly verdict: RollOutVerdict }> {
    return this.#running().map(watched => {
      const verdict = watched.halted ? RollOutVerdict.Halt : watched.guard.verdict(now)
      if (verdict === RollOutVerdict.Halt) watched.halted = true
      return { rollOut: watched.rollOut, verdict }
    })
  }

  #running (): Watched[] {
    const running: Watched[] = []
    for (const rollOut of this.#settings.view.rollOuts.values()) {
      if (rollOut.settings.state !== RollOutState.Running) continue
      running.push(this.#watchedOf(rollOut))
    }
    return running
  }

  #watchedOf (rollOut: RollOutView): Watched {
    const key = `${rollOut.from} ${rollOut.to}`
    const known = this.#watched.get(key)
    const watched = known === undefined
      ? { rollOut, guard: this.#makeGuard(rollOut.from, rollOut.to), halted: false }
      : { ...known, rollOut }
    this.#watched.set(key, watched)
    return watched
  }
}
