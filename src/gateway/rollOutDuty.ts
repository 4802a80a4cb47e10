/**
 * Carries roll-outs through. Every daemon may write a status; the row's version is the condition,
 * so one of them does and the others learn of it. No holder of the duty can die, freeze or be cut
 * off with it. Each waits a drawn moment first, so that they do not all write at once.
 */
import type { Clock, Randomness } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import { canComplete, isWorthTelling, type VersionChoice } from '../placing/index.ts'
import { type RollOutEvidence, type RollOutOrder, type RollOutPins, RollOutState, type RollOutStatus } from '../routing/index.ts'
import { type RollOutView, rollOutKey } from './rollOutView.ts'

const roundMilliseconds = 400
/** A daemon that finds something to write waits up to this long for another to do so. */
const mostDeferralMilliseconds = 600
const evidenceMilliseconds = 1_000

/** What this daemon last told of a version. */
interface ToldEvidence {
  readonly answers: number
  readonly bad: number
  readonly at: number
}

/** Writes what daemons and the operator read of roll-outs. */
export interface RollOutStore {
  /** Writes a status if its row still has a version; returns how it ended, for the log. */
  writeStatus (status: RollOutStatus, expectedVersion: number): Promise<string>
  /** Writes this daemon's evidence; returns how it ended, for the log. */
  writeEvidence (evidence: RollOutEvidence): Promise<string>
  /** Writes the sessions that this daemon keeps on the old version; returns whether that is certain. */
  writePins (pins: RollOutPins): Promise<boolean>
  /** The store's steady clock; undefined before its first answer. */
  readonly storeTime: number | undefined
}

/** What the duty is made of. */
export interface RollOutDutyOptions {
  readonly view: RollOutView
  readonly versions: VersionChoice
  /** This daemon's name. */
  readonly observer: string
  readonly store: RollOutStore
  readonly clock: Clock
  readonly randomness: Randomness
  readonly log: Log
  /** Whether the new version has endpoints that can take work. */
  readonly hasEndpoints: (order: RollOutOrder) => boolean
}

/** The duty of one daemon. */
export class RollOutDuty {
  readonly #options: RollOutDutyOptions
  readonly #stopping = new AbortController()
  readonly #told = new Map<string, ToldEvidence>()
  /** Sessions still to be told, by roll-out. */
  readonly #pins = new Map<string, readonly string[]>()

  constructor (options: RollOutDutyOptions) {
    this.#options = options
  }

  /** Looks after all orders until it is stopped; returns at once. */
  start (): void {
    this.#run().catch(error => this.#options.log.error('roll_out_duty_failed', { reason: String(error) }))
  }

  stop (): void {
    this.#stopping.abort()
  }

  async #run (): Promise<void> {
    const { clock, view } = this.#options
    while (!this.#stopping.signal.aborted) {
      await clock.sleep(roundMilliseconds, this.#stopping.signal)
      for (const order of view.orders) {
        view.review(order)
        await this.#tellPins(order)
        await this.#tellEvidence(order)
        await this.#advance(order)
      }
    }
  }

  /** Writes the next status, if one is due and no other daemon does so first. */
  async #advance (order: RollOutOrder): Promise<void> {
    const due = this.#dueState(order)
    if (due === undefined) return
    const { clock, log, randomness, store, view } = this.#options
    await clock.sleep(randomness.fraction() * mostDeferralMilliseconds, this.#stopping.signal)
    const now = store.storeTime
    if (now === undefined || this.#dueState(order) !== due || this.#stopping.signal.aborted) return
    const rowVersion = view.rowOf(order.service)?.rowVersion ?? 0
    const startedAt = due === RollOutState.Running ? now : view.statusOf(order)?.startedAt
    const status = { service: order.service, toVersion: order.toVersion, state: due, startedAt }
    const outcome = await store.writeStatus(status, rowVersion)
    const { answers, failures, slow } = view.ownEvidence(order)
    log.info('roll_out_status', { service: order.service, to: order.toVersion, state: due, outcome, rowVersion, progress: view.progressOf(order), answers, failures, slow })
  }

  #dueState (order: RollOutOrder): RollOutState | undefined {
    const { view } = this.#options
    const status = view.statusOf(order)
    if (status === undefined) return RollOutState.Running
    if (status.state !== RollOutState.Running) return undefined
    if (view.speaksAgainst(order)) return RollOutState.Reverted
    const progress = view.progressOf(order)
    const isDue = progress !== undefined && canComplete(progress) && this.#options.hasEndpoints(order)
    return isDue ? RollOutState.Complete : undefined
  }

  /** Sessions move to other daemons when a VM stops; these must know that they began on the old version. */
  async #tellPins (order: RollOutOrder): Promise<void> {
    const { clock, log, observer, store, versions, view } = this.#options
    const key = rollOutKey(order)
    if (view.statusOf(order)?.state !== RollOutState.Running) return
    const sessions = this.#pins.get(key) ?? versions.pinnedBy(order.toVersion, clock.now())
    this.#pins.set(key, sessions)
    if (sessions.length === 0) return
    const isWritten = await store.writePins({ service: order.service, toVersion: order.toVersion, observer, sessions })
    if (isWritten) this.#pins.set(key, [])
    log.info('roll_out_pins', { service: order.service, to: order.toVersion, sessions: sessions.length, isWritten })
  }

  async #tellEvidence (order: RollOutOrder): Promise<void> {
    const { clock, log, store, view } = this.#options
    if (view.statusOf(order)?.state !== RollOutState.Running) return
    const evidence = view.ownEvidence(order)
    const { answers } = evidence
    const bad = evidence.failures + evidence.slow
    const key = rollOutKey(order)
    const told = this.#told.get(key) ?? { answers: 0, bad: 0, at: Number.NEGATIVE_INFINITY }
    const isDue = bad > told.bad || (view.isSuspected(order) && isWorthTelling(answers, told.answers))
    if (!isDue || clock.now() - told.at < evidenceMilliseconds) return
    this.#told.set(key, { answers, bad, at: clock.now() })
    const outcome = await store.writeEvidence(evidence)
    log.info('roll_out_evidence', { service: order.service, to: order.toVersion, answers: evidence.answers, failures: evidence.failures, slow: evidence.slow, outcome })
  }
}
