/**
 * Monitors the running roll-outs from this daemon's observations. A guard can stop new sessions of a
 * version on this daemon immediately. A settings write makes the stop durable; any daemon may write
 * it, because the subtree's revision resolves concurrent writes.
 */
import type { VersionName } from '../contract/index.ts'
import { type RollOutEvidence, type RollOutGuard, RollOutVerdict, RunTimings, type TimedRun } from '../choice/index.ts'
import type { SettingsSource } from '../distribution/index.ts'
import { RollOutState, type RollOutView } from '../settings/index.ts'

/** Creates the guard of a roll-out. */
export type GuardFactory = (from: VersionName, to: VersionName) => RollOutGuard

/** A roll-out, its guard, and whether the guard has halted it here. */
interface GuardedRollOut {
  readonly rollOut: RollOutView
  readonly guard: RollOutGuard
  readonly timings: RunTimings
  isHalted: boolean
}

/**
 * Keeps a guard for each running roll-out.
 *
 * @example
 * if (monitor.isStopped('small@4')) usePreviousVersion()
 */
export class RollOutMonitor {
  readonly #settings: SettingsSource
  readonly #createGuard: GuardFactory
  readonly #heldUpMilliseconds: () => number
  readonly #guarded = new Map<string, GuardedRollOut>()

  /** @param heldUpMilliseconds for how long the event loop was held up so far; that time says nothing of a version */
  constructor (settings: SettingsSource, createGuard: GuardFactory, heldUpMilliseconds: () => number = () => 0) {
    this.#settings = settings
    this.#heldUpMilliseconds = heldUpMilliseconds
    this.#createGuard = createGuard
  }

  /** Passes the result of an attempt to the guards of its version. */
  observe (evidence: RollOutEvidence): void {
    for (const guarded of this.#running()) {
      const { from, to } = guarded.rollOut
      if (evidence.version === from || evidence.version === to) guarded.guard.observe(evidence)
    }
  }

  /**
   * Adds an attempt that is about to be sent, for each roll-out of its version.
   *
   * @param sentAt milliseconds since the epoch
   */
  openRuns (version: VersionName, kind: string, sentAt: number): readonly TimedRun[] {
    return this.#running().flatMap(({ rollOut: { from, to }, guard, timings }) => {
      if (version !== from && version !== to) return []
      return [timings.open({
        kind, isReference: version === from, sentAt, onSlow: () => guard.observeTime(version, true), onUsual: () => guard.observeTime(version, false)
      })]
    })
  }

  /** Whether this daemon starts no new sessions on a version. */
  isStopped (version: VersionName): boolean {
    return this.#running().some(guarded => guarded.rollOut.to === version && guarded.isHalted)
  }

  /**
   * Returns the verdict for each running roll-out. Once halted, a roll-out stays halted on this daemon.
   *
   * @param now milliseconds since the epoch
   */
  verdicts (now: number): Array<{ readonly rollOut: RollOutView, readonly verdict: RollOutVerdict }> {
    return this.#running().map(guarded => {
      guarded.timings.checkOpenRuns(now)
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
      ? { rollOut, guard: this.#createGuard(rollOut.from, rollOut.to), timings: new RunTimings(this.#heldUpMilliseconds), isHalted: false }
      : { ...existing, rollOut }
    this.#guarded.set(key, guarded)
    return guarded
  }
}
