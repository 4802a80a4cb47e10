/**
 * Advances roll-outs. Every daemon may write a status row; the write is conditional on the row's
 * version, so exactly one daemon succeeds and the others observe the result. There is no leader that
 * could crash, freeze or be partitioned. Each daemon waits for a random delay before it writes, so
 * that they do not all write at once.
 */
import { type Clock, type Randomness, Wakeup } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import { pinListingDelayMilliseconds, shouldRepublish, type VersionSelector } from '../placement/index.ts'
import { type RollOutEvidence, type RollOutOrder, type RollOutPins, RollOutState, type RollOutStatus, type SessionHandOver } from '../routing/index.ts'
import { type RollOutView, rollOutKey } from './rollOutView.ts'

const roundIntervalMilliseconds = 400
/** Interval once a version gets all traffic, when little time is left to find it bad. */
const lastRoundIntervalMilliseconds = 150
/** Interval while no roll-out is ordered; an order ends the wait. */
const idleIntervalMilliseconds = 5_000
/** Upper bound of the random delay during which another daemon may write the same status first. */
const maximumWriteDelayMilliseconds = 600
const evidenceIntervalMilliseconds = 1_000

/** Evidence on a version that this daemon last published. */
interface PublishedEvidence {
  readonly answers: number
  readonly bad: number
  readonly publishedAt: number
}

/** The outcome of a conditional write. */
export interface RollOutWrite {
  /** For the log. */
  readonly outcome: string
  /** Whether the store has confirmed the write. */
  readonly isWritten: boolean
}

/** Writes the roll-out rows that daemons and the operator read. */
export interface RollOutStore {
  /** Writes a status if its row still has the expected version. */
  writeStatus (status: RollOutStatus, expectedVersion: number): Promise<RollOutWrite>
  /** Writes this daemon's evidence; returns the outcome, for the log. */
  writeEvidence (evidence: RollOutEvidence): Promise<string>
  /** Writes the sessions that this daemon keeps on the old version; returns whether the write is confirmed. */
  writePins (pins: RollOutPins): Promise<boolean>
  /** Writes the sessions that this daemon served until it stopped; returns the outcome, for the log. */
  writeHandOver (handOver: SessionHandOver): Promise<string>
  /** The store's steady clock; undefined before its first answer. */
  readonly storeTime: number | undefined
  /** Grows when the store comes back from an older copy of itself, which may lack rows that were written. */
  readonly epoch: number
}

export interface RollOutCoordinatorOptions {
  readonly view: RollOutView
  readonly versionSelector: VersionSelector
  /** This daemon's name. */
  readonly observer: string
  readonly store: RollOutStore
  readonly clock: Clock
  readonly randomness: Randomness
  readonly log: Log
  /** Whether the new version has endpoints that can take work. */
  readonly hasEndpoints: (order: RollOutOrder) => boolean
}

/** Advances roll-outs on behalf of one daemon. */
export class RollOutCoordinator {
  readonly #options: RollOutCoordinatorOptions
  readonly #stopping = new AbortController()
  readonly #publishedEvidence = new Map<string, PublishedEvidence>()
  /** Pinned sessions, by roll-out. */
  readonly #pins = new Map<string, ReadonlySet<string>>()
  /** How many of them the store holds. */
  readonly #publishedPins = new Map<string, number>()
  #publishedEpoch = 0
  readonly #wakeup = new Wakeup()
  #handedOverSessions: ReadonlySet<string> = new Set()

  constructor (options: RollOutCoordinatorOptions) {
    this.#options = options
  }

  /** Starts processing all orders in the background until stopped; returns immediately. */
  start (): void {
    this.#run().catch(error => this.#options.log.error('roll_out_duty_failed', { reason: String(error) }))
  }

  stop (): void {
    this.#stopping.abort()
    this.#wakeup.wake()
  }

  /** To be called when orders or statuses have changed. */
  notifyChange (): void {
    this.#wakeup.wake()
  }

  /** Tells the other daemons which sessions this one serves, for a roll-out that begins after it has stopped. */
  async handOverSessions (): Promise<void> {
    const { clock, log, observer, store, versionSelector, view } = this.#options
    const listedAt = store.storeTime
    const sessions = versionSelector.activeSessions(new Set(view.orders.map(order => order.toVersion)), clock.now())
    const isListed = sessions.every(session => this.#handedOverSessions.has(session))
    if (isListed || listedAt === undefined) return
    this.#handedOverSessions = new Set(sessions)
    const outcome = await store.writeHandOver({ observer, listedAt, sessions })
    log.info('sessions_handed_over', { sessions: sessions.length, outcome })
  }

  async #run (): Promise<void> {
    const { clock, view } = this.#options
    while (!this.#stopping.signal.aborted) {
      if (view.hasActiveRollOut) await clock.sleep(this.#isNearEnd ? lastRoundIntervalMilliseconds : roundIntervalMilliseconds, this.#stopping.signal)
      else await this.#wakeup.sleep(clock, idleIntervalMilliseconds)
      this.#forgetPublishedRows()
      for (const order of view.orders) {
        view.reviewEvidence(order, clock.now())
        await this.#publishPins(order)
        await this.#publishEvidence(order)
        await this.#advance(order)
      }
    }
  }

  /** Whether a version gets all traffic whose roll-out is not complete. */
  get #isNearEnd (): boolean {
    return this.#options.view.orders.some(order => this.#isInLastStep(order))
  }

  #isInLastStep (order: RollOutOrder): boolean {
    const { view } = this.#options
    return view.statusOf(order)?.state === RollOutState.Running && (view.elapsedMillisecondsOf(order) ?? 0) >= view.scheduleOf(order).allTrafficAt
  }

  /** After the store came back from an older copy, what this daemon had written there is written again. */
  #forgetPublishedRows (): void {
    const { epoch } = this.#options.store
    if (epoch === this.#publishedEpoch) return
    this.#publishedEpoch = epoch
    this.#publishedEvidence.clear()
    this.#publishedPins.clear()
  }

  /** Writes the next status if one is due and no other daemon writes it first. */
  async #advance (order: RollOutOrder): Promise<void> {
    const nextState = this.#nextState(order)
    if (nextState === undefined) return
    const { clock, log, randomness, store, view } = this.#options
    await clock.sleep(randomness.fraction() * maximumWriteDelayMilliseconds, this.#stopping.signal)
    const now = store.storeTime
    if (now === undefined || this.#nextState(order) !== nextState || this.#stopping.signal.aborted) return
    const rowVersion = view.rowOf(order.service)?.rowVersion ?? 0
    const status = { service: order.service, toVersion: order.toVersion, state: nextState, startedAt: view.statusOf(order)?.startedAt ?? now }
    const { outcome, isWritten } = await store.writeStatus(status, rowVersion)
    if (isWritten) view.recordStatus(status, store.epoch)
    const { answers, failures, slow } = view.ownEvidence(order)
    log.info('roll_out_status', { service: order.service, to: order.toVersion, state: nextState, outcome, rowVersion, progress: view.progressOf(order), answers, failures, slow, isDoubted: view.isDoubted(order) })
  }

  #nextState (order: RollOutOrder): RollOutState | undefined {
    const { view } = this.#options
    const lost = view.lostStatusOf(order)
    if (lost !== undefined) return lost.state
    const status = view.statusOf(order)
    if (status === undefined) return RollOutState.Running
    if (status.state !== RollOutState.Running) return undefined
    if (view.shouldRevert(order)) return RollOutState.Reverted
    const elapsedMilliseconds = view.elapsedMillisecondsOf(order)
    const isDue = elapsedMilliseconds !== undefined && elapsedMilliseconds >= view.scheduleOf(order).completionAt
    if (!isDue) return undefined
    // The old version can't come back after a completed roll-out, so a doubt decides for it.
    if (view.isDoubted(order)) return RollOutState.Reverted
    return this.#options.hasEndpoints(order) ? RollOutState.Complete : undefined
  }

  /**
   * Publishes pinned sessions: their requests reach other daemons too, which must know that the sessions began
   * on the old version. Until the trial begins there are new ones.
   */
  async #publishPins (order: RollOutOrder): Promise<void> {
    const { clock, log, observer, store, versionSelector, view } = this.#options
    const key = rollOutKey(order)
    const elapsedMilliseconds = view.elapsedMillisecondsOf(order) ?? 0
    if (view.statusOf(order)?.state !== RollOutState.Running || elapsedMilliseconds < pinListingDelayMilliseconds) return
    const schedule = view.scheduleOf(order)
    const known = this.#pins.get(key)
    const isListing = known === undefined || schedule.exposureAt(elapsedMilliseconds, false) === undefined
    const sessions = isListing ? new Set([...known ?? [], ...versionSelector.sessionsToPin(order.toVersion, schedule.trialShare, clock.now())]) : known
    this.#pins.set(key, sessions)
    if (sessions.size <= (this.#publishedPins.get(key) ?? 0)) return
    const isWritten = await store.writePins({ service: order.service, toVersion: order.toVersion, observer, sessions: [...sessions] })
    if (isWritten) this.#publishedPins.set(key, sessions.size)
    log.info('roll_out_pins', { service: order.service, to: order.toVersion, sessions: sessions.size, isWritten })
  }

  async #publishEvidence (order: RollOutOrder): Promise<void> {
    const { clock, log, store, view } = this.#options
    if (view.statusOf(order)?.state !== RollOutState.Running) return
    const evidence = view.ownEvidence(order)
    const { answers } = evidence
    const bad = evidence.failures + evidence.slow
    const key = rollOutKey(order)
    const published = this.#publishedEvidence.get(key) ?? { answers: 0, bad: 0, publishedAt: Number.NEGATIVE_INFINITY }
    const isDue = bad > published.bad || (view.isSuspected(order) && shouldRepublish(answers, published.answers))
    const intervalMilliseconds = this.#isInLastStep(order) ? lastRoundIntervalMilliseconds : evidenceIntervalMilliseconds
    if (!isDue || clock.now() - published.publishedAt < intervalMilliseconds) return
    this.#publishedEvidence.set(key, { answers, bad, publishedAt: clock.now() })
    const outcome = await store.writeEvidence(evidence)
    log.info('roll_out_evidence', { service: order.service, to: order.toVersion, answers: evidence.answers, failures: evidence.failures, slow: evidence.slow, outcome })
  }
}
