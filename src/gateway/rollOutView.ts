/** This daemon's view of roll-outs: orders, their status, and the evidence on new versions. */
import { dropOldest, getOrCreate } from '../contract/index.ts'
import { EvidenceCollector, type EvidenceRun, type EvidenceRunOptions, type Exposure, KindVerdict, RollOutSchedule, type VersionSplit, VersionSuspicion, addCounts, fullExposure, isVersionBad, judgeKinds } from '../placement/index.ts'
import { type RollOutEvidence, type RollOutOrder, RollOutState, type RollOutStatus } from '../routing/index.ts'
import { PinnedSessions } from './pinnedSessions.ts'

/** A status and the version of its row. */
export interface VersionedStatus {
  readonly status: RollOutStatus
  readonly rowVersion: number
}

/** The rows of all roll-outs, as of one position of the store. */
export interface RollOutRows {
  readonly statuses: readonly VersionedStatus[]
  readonly evidence: readonly RollOutEvidence[]
  readonly pinnedSessions: PinnedSessions
  /** The store's epoch. */
  readonly epoch: number
}

/** A status and the latest epoch of the store in which it was seen. */
interface HeldStatus {
  readonly status: RollOutStatus
  readonly epoch: number
}

/** Later states replace earlier ones; a roll-out never goes back. */
const stateOrder = { [RollOutState.Running]: 0, [RollOutState.Complete]: 1, [RollOutState.Reverted]: 1 } as const

/** Number of reverted versions of a service that are remembered. */
const maximumRevertedVersions = 32
const noVersions: ReadonlySet<string> = new Set()

/** The roll-outs of all services. */
export class RollOutView {
  readonly #observer: string
  readonly #exposureLimit: number
  readonly #storeTime: () => number | undefined
  readonly #heldUpMilliseconds: () => number
  #orders: ReadonlyMap<string, RollOutOrder> = new Map()
  #statuses: ReadonlyMap<string, VersionedStatus> = new Map()
  /**
   * The furthest status of each roll-out that the store was known to hold. A store that comes back from an
   * older copy may have lost it; it holds on here, and is written again.
   */
  readonly #furthestStatuses = new Map<string, HeldStatus>()
  /** Versions whose roll-outs were reverted, by service; their endpoints may run for a while. */
  readonly #revertedVersions = new Map<string, Set<string>>()
  /** The store's epoch as of the installed rows. */
  #epoch = 0
  #evidence: readonly RollOutEvidence[] = []
  #pinnedSessions = new PinnedSessions([], [], 0)
  readonly #collectors = new Map<string, EvidenceCollector>()
  readonly #suspicions = new Map<string, VersionSuspicion>()

  /**
   * @param observer this daemon's name
   * @param exposureLimit share of a roll-out's requests that a bad version may get
   * @param storeTime the store's steady clock
   * @param heldUpMilliseconds for how long the event loop was held up so far; that time says nothing of a version
   */
  constructor (observer: string, exposureLimit: number, storeTime: () => number | undefined, heldUpMilliseconds: () => number = () => 0) {
    this.#heldUpMilliseconds = heldUpMilliseconds
    this.#observer = observer
    this.#exposureLimit = exposureLimit
    this.#storeTime = storeTime
  }

  get orders (): readonly RollOutOrder[] {
    return [...this.#orders.values()]
  }

  installOrders (orders: readonly RollOutOrder[]): void {
    this.#orders = new Map(orders.map(order => [order.service, order]))
  }

  installStatuses ({ statuses, evidence, pinnedSessions, epoch }: RollOutRows): void {
    this.#epoch = epoch
    this.#statuses = new Map(statuses.map(entry => [entry.status.service, entry]))
    for (const { status } of statuses) this.recordStatus(status, epoch)
    this.#evidence = evidence
    this.#pinnedSessions = pinnedSessions
  }

  /** The status row of a service, whatever order it belongs to. */
  rowOf (service: string): VersionedStatus | undefined {
    return this.#statuses.get(service)
  }

  /**
   * Records a status that the store holds.
   *
   * @param epoch the store's epoch in which it was read or written
   */
  recordStatus (status: RollOutStatus, epoch: number): void {
    const key = rollOutKey(status)
    const known = this.#furthestStatuses.get(key)
    if (known !== undefined && stateOrder[status.state] < stateOrder[known.status.state]) return
    this.#furthestStatuses.set(key, { status, epoch })
    this.#recordReverted(status)
    this.#forgetEarlierRollOuts(status, epoch)
  }

  /** A version that is ordered anew is no longer taken for reverted. */
  #recordReverted ({ service, toVersion, state }: RollOutStatus): void {
    const reverted = getOrCreate(this.#revertedVersions, service, () => new Set<string>())
    if (state === RollOutState.Reverted) reverted.add(toVersion)
    else reverted.delete(toVersion)
    dropOldest(reverted, maximumRevertedVersions)
  }

  /** A service's row holds its latest roll-out only; an earlier version may be ordered anew. */
  #forgetEarlierRollOuts ({ service, toVersion }: RollOutStatus, epoch: number): void {
    for (const [key, held] of this.#furthestStatuses) {
      const isEarlier = held.status.service === service && held.status.toVersion !== toVersion && held.epoch >= epoch
      if (isEarlier) this.#furthestStatuses.delete(key)
    }
  }

  /** The status of an order; undefined if none has been written for it. */
  statusOf (order: RollOutOrder): RollOutStatus | undefined {
    return this.#furthestStatuses.get(rollOutKey(order))?.status
  }

  /** The status of an order that the store held in an earlier epoch and has lost; undefined if it has it still. */
  lostStatusOf (order: RollOutOrder): RollOutStatus | undefined {
    const held = this.#furthestStatuses.get(rollOutKey(order))
    return held !== undefined && held.epoch < this.#epoch ? held.status : undefined
  }

  /** Whether any order is neither complete nor reverted, as the store has it. */
  get hasActiveRollOut (): boolean {
    return this.orders.some(order => {
      const state = this.statusOf(order)?.state
      return state === undefined || state === RollOutState.Running || this.lostStatusOf(order) !== undefined
    })
  }

  /** Milliseconds since a roll-out's start; undefined before its start is known. */
  elapsedMillisecondsOf (order: RollOutOrder): number | undefined {
    const startedAt = this.statusOf(order)?.startedAt
    const now = this.#storeTime()
    return startedAt === undefined || now === undefined ? undefined : now - startedAt
  }

  /** Elapsed share of a roll-out's duration; undefined before its start is known. */
  progressOf (order: RollOutOrder): number | undefined {
    const elapsedMilliseconds = this.elapsedMillisecondsOf(order)
    return elapsedMilliseconds === undefined ? undefined : elapsedMilliseconds / order.durationMilliseconds
  }

  /** The steps of a roll-out. */
  scheduleOf (order: RollOutOrder): RollOutSchedule {
    return new RollOutSchedule(order.durationMilliseconds, this.#exposureLimit)
  }

  /** How a service's endpoints are split by version; undefined if no roll-out was ordered. */
  splitOf (service: string): VersionSplit | undefined {
    const order = this.#orders.get(service)
    if (order === undefined) return undefined
    const { toVersion } = order
    const pinnedSessions = this.#pinnedSessions.of({ service, toVersion, startedAt: this.statusOf(order)?.startedAt })
    return { toVersion, revertedVersions: this.#revertedVersions.get(service) ?? noVersions, exposure: this.#exposureOf(order), pinnedSessions }
  }

  /**
   * Adds a run that has just been sent, as evidence.
   *
   * @returns undefined if no roll-out of its service was ordered
   */
  openRun (service: string, version: string, run: Omit<EvidenceRunOptions, 'isNew'>): EvidenceRun | undefined {
    const order = this.#orders.get(service)
    return order === undefined ? undefined : this.#collectorOf(order).open({ ...run, isNew: version === order.toVersion })
  }

  /** This daemon's evidence on an order's new version. */
  ownEvidence (order: RollOutOrder): RollOutEvidence {
    return { service: order.service, toVersion: order.toVersion, observer: this.#observer, ...this.#collectorOf(order).newVersionCounts }
  }

  /**
   * Re-evaluates the evidence of all daemons.
   *
   * @param now milliseconds of the process's clock
   */
  reviewEvidence (order: RollOutOrder, now: number): void {
    this.#collectorOf(order).checkOpenRuns(now)
    const heardTime = this.#heardTime
    if (heardTime !== undefined) this.#suspicionOf(order).update(this.#verdictOn(order), heardTime)
  }

  /** Whether a version may be bad, so that it is not to get all traffic. */
  isDoubted (order: RollOutOrder): boolean {
    return this.#suspicionOf(order).isDoubted
  }

  /** Whether a suspicion is active, so that all daemons should publish their evidence on an order's version. */
  isSuspected (order: RollOutOrder): boolean {
    return this.#suspicionOf(order).isActive
  }

  /** Whether the evidence of all daemons confirms that an order's version is bad. */
  shouldRevert (order: RollOutOrder): boolean {
    const heardTime = this.#heardTime
    return heardTime !== undefined && this.#suspicionOf(order).isConfirmed(heardTime)
  }

  /** The store's steady clock without the time in which the evidence of others could not be read. */
  get #heardTime (): number | undefined {
    const storeTime = this.#storeTime()
    return storeTime === undefined ? undefined : storeTime - this.#heldUpMilliseconds()
  }

  #verdictOn (order: RollOutOrder): KindVerdict {
    const { oldVersionRates, oldVersionKinds } = this.#collectorOf(order)
    const others = this.#evidence.filter(({ service, toVersion, observer }) =>
      service === order.service && toVersion === order.toVersion && observer !== this.#observer)
    const evidence = [this.ownEvidence(order), ...others]
    if (isVersionBad(evidence, oldVersionRates)) return KindVerdict.Bad
    return judgeKinds(addCounts(evidence.map(({ kinds }) => kinds ?? {})), oldVersionKinds)
  }

  #exposureOf (order: RollOutOrder): Exposure | undefined {
    const state = this.statusOf(order)?.state
    if (state === RollOutState.Complete) return fullExposure
    if (state === RollOutState.Reverted || this.shouldRevert(order)) return undefined
    const elapsedMilliseconds = this.elapsedMillisecondsOf(order)
    return elapsedMilliseconds === undefined ? undefined : this.scheduleOf(order).exposureAt(elapsedMilliseconds, this.isDoubted(order))
  }

  #collectorOf (order: RollOutOrder): EvidenceCollector {
    return getOrCreate(this.#collectors, rollOutKey(order), () => new EvidenceCollector(this.#heldUpMilliseconds))
  }

  #suspicionOf (order: RollOutOrder): VersionSuspicion {
    return getOrCreate(this.#suspicions, rollOutKey(order), () => new VersionSuspicion())
  }
}

/** Returns a key that identifies a roll-out: its service and version. */
export function rollOutKey ({ service, toVersion }: Pick<RollOutOrder, 'service' | 'toVersion'>): string {
  return `${service}\n${toVersion}`
}
