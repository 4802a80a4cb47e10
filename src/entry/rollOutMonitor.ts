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
export type GuardFactory = (from: VersionName, to: VersionName) => RollOutGuard

/** A guard and the roll-out that it watches. */
interface GuardedRollOut {
  readonly rollOut: RollOutView
  readonly guard: RollOutGuard
  isHalted: boolean
}

/**
 * The guards of all running roll-outs.
 *
 * @example
 * if (watch.stopped('small@4')) takeTheOldVersion()
 */
export class RollOutMonitor {
  readonly #settings: SettingsSource
  readonly #createGuard: GuardFactory
  readonly #guarded = new Map<string, GuardedRollOut>()

  constructor (settings: SettingsSource, createGuard: GuardFactory) {
    this.#settings = settings
    this.#createGuard = createGuard
  }

  /** Learns from an answer or a failure. */
  observe (evidence: RollOutEvidence): void {
    for (const guarded of this.#running()) {
      const { from, to } = guarded.rollOut
      if (evidence.version === from || evidence.version === to) guarded.guard.observe(evidence)
    }
  }

  /** Whether this daemon gives a version no new session. */
  isStopped (version: VersionName): boolean {
    return this.#running().some(guarded => guarded.rollOut.to === version && guarded.isHalted)
  }

  /**
   * What each running roll-out should do now. A halt stays a halt here.
   *
   * @param now milliseconds since the epoch
   */
  verdicts (now: number): Array<{ readonly rollOut: RollOutView, readonly verdict: RollOutVerdict }> {
    return this.#running().map(guarded => {
      const verdict = guarded.isHalted ? RollOutVerdict.Halt : guarded.guard.verdict(now)
      if (verdict === RollOutVerdict.Halt) guarded.isHalted = true
      return { rollOut: guarded.rollOut, verdict }
    })
  }

  #running (): GuardedRollOut[] {
    const running: GuardedRollOut[] = []
    for (const rollOut of this.#settings.view.rollOuts.values()) {
      if (rollOut.settings.state !== RollOutState.Running) continue
      running.push(this.#guardedFor(rollOut))
    }
    return running
  }

  #guardedFor (rollOut: RollOutView): GuardedRollOut {
    const key = `${rollOut.from} ${rollOut.to}`
    const existing = this.#guarded.get(key)
    const guarded = existing === undefined
      ? { rollOut, guard: this.#createGuard(rollOut.from, rollOut.to), isHalted: false }
      : { ...existing, rollOut }
    this.#guarded.set(key, guarded)
    return guarded
  }
}
