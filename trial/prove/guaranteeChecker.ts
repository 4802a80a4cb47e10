/**
 * Checks the ten guarantees after each round against what callers received, what engines and services
 * ran and what the store contains.
 */
import { readBillRecords, verifyBills } from '../../src/billing/index.ts'
import { modelOf, RefusalCode, RunState } from '../../src/contract/index.ts'
import type { Disturbances } from './disturbances.ts'
import type { EngineRun } from './simulatedEngines.ts'
import type { FaultInjector } from './faultInjector.ts'
import { type Fleet, type FleetDaemon, organisations } from './fleet.ts'
import { CandidateState, type Operators } from './operators.ts'
import { RequestOutcome, type ChatRecord, type RefundRecord, type Traffic } from './traffic.ts'

/** The guarantees by number and short name, as the report prints them. */
export const Guarantee = {
  AllowedVersions: '1 only allowed versions',
  WithdrawnVersion: '2 a withdrawn version receives nothing new',
  SessionVersion: '3 a session keeps its version',
  BilledOnce: '4 each request is billed exactly once',
  WholeAnswer: '5 the whole answer to its own request',
  NotRun: '6 not_run is true',
  AtMostOnce: '7 a non-idempotent request runs at most once',
  LeavingEndpoint: '8 a leaving endpoint receives nothing new',
  PlannedStop: '9 a planned stop cuts off no request',
  SettingsInForce: '10 settings in force within 4 s and never reverting',
  OrderFencing: 'orders under an old lease are not carried out',
  Invariant: 'invariants inside the program hold'
} as const
export type Guarantee = typeof Guarantee[keyof typeof Guarantee]

const settingsPropagationLimitMilliseconds = 4_000
const leavingGraceMilliseconds = 5_000
/** A request must end within this time after its deadline. */
const deadlineGraceMilliseconds = 5_000
const deadlineMilliseconds = 20_000
const candidateVersion = 'small@2'

export interface GuaranteeCheckerDependencies {
  readonly fleet: Fleet
  readonly traffic: Traffic
  readonly operators: Operators
  readonly faultInjector: FaultInjector
  readonly disturbances: Disturbances
}

/** Checks the guarantees and counts checks and violations. */
export class GuaranteeChecker {
  readonly checks = new Map<Guarantee, number>()
  readonly violations = new Map<Guarantee, number>()
  readonly evidence: string[] = []
  readonly #dependencies: GuaranteeCheckerDependencies
  readonly #lastRevisions = new Map<string, number>()
  #checkedOrderCount = 0
  #checkedRunCount = 0
  #checkedRaceCount = 0

  constructor (dependencies: GuaranteeCheckerDependencies) {
    this.#dependencies = dependencies
  }

  /** Records a violated invariant inside the program. */
  recordInvariantViolation (evidence: string): void {
    this.#record(Guarantee.Invariant, false, () => evidence)
  }

  /** Checks the settings of every daemon at the current time; called several times per second of virtual time. */
  checkSettings (): void {
    const { disturbances, fleet, operators } = this.#dependencies
    const now = fleet.clock.now()
    const due = operators.accepted.filter(change => change.acceptedAt <= now - settingsPropagationLimitMilliseconds).at(-1)
    for (const daemon of fleet.daemons) {
      const revision = daemon.parts.follower.view.revision
      const last = this.#lastRevisions.get(daemon.name) ?? 0
      this.#lastRevisions.set(daemon.name, revision)
      this.#record(Guarantee.SettingsInForce, revision >= last, () => `${daemon.name} went from revision ${last} back to ${revision}`)
      if (due === undefined || !disturbances.isUndisturbed(scopesOf(daemon), due.acceptedAt, now)) continue
      this.#record(Guarantee.SettingsInForce, revision >= due.revision, () => `${daemon.name} has revision ${revision} at ${now}, ${due.revision} was accepted at ${due.acceptedAt}`)
    }
  }

  /** Checks a round after its recovery phase. */
  async checkRound (): Promise<void> {
    const { engines } = this.#dependencies.fleet
    const runs = engines.runs.slice(this.#checkedRunCount)
    this.#checkedRunCount = engines.runs.length
    const byRequest = groupBy(runs, run => run.request)
    for (const chat of this.#dependencies.traffic.chats) this.#checkChat(chat, byRequest.get(chat.id) ?? [])
    for (const refund of this.#dependencies.traffic.refunds) this.#checkRefund(refund)
    this.#checkAtMostOnce()
    this.#checkOrders()
    this.#checkRaces()
    await this.#checkBills()
  }

  #checkChat (chat: ChatRecord, runs: readonly EngineRun[]): void {
    this.#checkOutcome(chat, chat.id)
    for (const run of runs) this.#checkRun(chat, run)
    if (chat.refusal?.run === RunState.NotRun) this.#record(Guarantee.NotRun, runs.length === 0, () => `${chat.id} was refused as not run and ran at ${runs[0]?.endpoint}`)
    if (chat.outcome === RequestOutcome.Answered) {
      const isOwnAnswer = runs.some(run => this.#dependencies.fleet.engines.textOf(run) === chat.text)
      this.#record(Guarantee.WholeAnswer, isOwnAnswer, () => `${chat.id} received ${chat.text.slice(0, 60)}…`)
    }
    if (chat.refusal?.code !== RefusalCode.AnswerCutOff) return
    const scopes = [...scopesOf(chat.daemon), ...runs.map(run => dataCentreOf(run.endpoint))]
    const mayBeCut = !this.#dependencies.disturbances.isUndisturbed(scopes, chat.startedAt, chat.endedAt)
    this.#record(Guarantee.WholeAnswer, mayBeCut, () => `${chat.id} was cut off at ${chat.daemon.name} from ${runs.map(run => run.endpoint).join(', ')} although the engines were reachable: ${chat.refusal?.message}`)
  }

  #checkRun (chat: ChatRecord, run: EngineRun): void {
    const allowed = organisations[chat.organisation] ?? []
    this.#record(Guarantee.AllowedVersions, allowed.includes(modelOf(run.version)), () => `${chat.id} of ${chat.organisation} ran on ${run.version}`)
    if (chat.pinned !== undefined) this.#record(Guarantee.SessionVersion, run.version === chat.pinned, () => `${chat.id} has ${chat.pinned} as its session version and ran on ${run.version}`)
    this.#checkLeaving(chat, run)
    if (run.version === candidateVersion) this.#checkCandidate(chat, run)
  }

  #checkLeaving (chat: ChatRecord, run: EngineRun): void {
    for (const { endpoint, from, to } of this.#dependencies.faultInjector.leaving) {
      if (endpoint !== run.endpoint || run.at >= to || run.at < from + leavingGraceMilliseconds) continue
      if (!this.#isUndisturbed(chat.daemon, from, run.at)) continue
      this.#record(Guarantee.LeavingEndpoint, false, () => `${chat.id} ran at ${endpoint} ${run.at - from} ms after it was marked as leaving`)
    }
    this.#record(Guarantee.LeavingEndpoint, true, () => '')
  }

  #checkCandidate (chat: ChatRecord, run: EngineRun): void {
    const { operators } = this.#dependencies
    if (operators.uncertainSince !== undefined && run.at >= operators.uncertainSince) return
    this.#record(Guarantee.WithdrawnVersion, true, () => '')
    const closedSince = this.#closedSince(run.at, chat.pinned === undefined)
    if (closedSince === undefined || run.at < closedSince + settingsPropagationLimitMilliseconds) return
    // A daemon that is cut off does not know of a withdrawal, but it starts no new session on a version under roll-out.
    const isBound = this.#isUndisturbed(chat.daemon, closedSince, run.at) || (chat.pinned === undefined && !this.#wasDisturbed(chat.daemon, closedSince, run.at))
    if (isBound) this.#record(Guarantee.WithdrawnVersion, false, () => `${chat.id} ran on ${candidateVersion} at ${chat.daemon.name} ${run.at - closedSince} ms after the version was closed`)
  }

  /** The time since which the candidate version was closed to this kind of request; undefined if it was open at the given moment. */
  #closedSince (moment: number, isNewSession: boolean): number | undefined {
    const isClosed = (state: CandidateState) => state === CandidateState.Withdrawn || (isNewSession && state === CandidateState.Halted)
    let since: number | undefined
    for (const change of this.#dependencies.operators.accepted) {
      if (isClosed(change.state)) since ??= change.acceptedAt
      else if (change.issuedAt <= moment) since = undefined
      if (change.acceptedAt > moment) break
    }
    return since !== undefined && since <= moment ? since : undefined
  }

  #checkRefund (refund: RefundRecord): void {
    const name = `${refund.key} at ${refund.daemon.name}`
    this.#checkOutcome(refund, name)
    const runs = this.#dependencies.fleet.services.runs.filter(run => run.key === `${refund.organisation}/${refund.key}`)
    if (refund.refusal?.run === RunState.NotRun) this.#record(Guarantee.NotRun, !runs.some(run => run.daemon === refund.daemon.name), () => `${name} was refused as not run (${refund.refusal?.message}) and ran`)
    if (refund.outcome === RequestOutcome.Answered) this.#record(Guarantee.WholeAnswer, refund.body.includes(`"${refund.organisation}/${refund.key}"`), () => `${name} was answered ${refund.body}`)
  }

  #checkOutcome (record: ChatRecord | RefundRecord, name: string): void {
    this.#record(Guarantee.PlannedStop, record.outcome !== RequestOutcome.CutOffByStop, () => `${name} was cut off by a planned stop`)
    this.#record(Guarantee.Invariant, record.outcome !== RequestOutcome.InvariantBroken, () => `${name}: ${String(this.#dependencies.traffic.errors.at(-1))}`)
    const isLate = record.outcome === RequestOutcome.Running && this.#dependencies.fleet.clock.now() > record.startedAt + deadlineMilliseconds + deadlineGraceMilliseconds
    this.#record(Guarantee.WholeAnswer, !isLate || this.#wasDisturbed(record.daemon, record.startedAt, record.startedAt + deadlineMilliseconds), () => `${name} never ended`)
  }

  #checkAtMostOnce (): void {
    const runs = groupBy(this.#dependencies.fleet.services.runs, run => run.key)
    for (const [key, list] of runs) this.#record(Guarantee.AtMostOnce, list.length === 1, () => `${key} ran ${list.length} times, at ${list.map(run => `${run.daemon} ${run.at}`).join(', ')}`)
    this.#dependencies.fleet.services.runs.length = 0
  }

  #checkOrders (): void {
    const highest = new Map<string, number>()
    for (const [index, order] of this.#dependencies.fleet.engines.orders.entries()) {
      const last = highest.get(order.endpoint) ?? 0
      highest.set(order.endpoint, Math.max(last, order.fencing))
      if (index < this.#checkedOrderCount) continue
      this.#record(Guarantee.OrderFencing, order.fencing >= last, () => `${order.endpoint} carried out an order of ${order.daemon} under ${order.fencing} after ${last}`)
    }
    this.#checkedOrderCount = this.#dependencies.fleet.engines.orders.length
  }

  #checkRaces (): void {
    const { invalidRaces } = this.#dependencies.operators
    for (const race of invalidRaces.slice(this.#checkedRaceCount)) this.#record(Guarantee.SettingsInForce, false, () => `concurrent changes by two operators: ${JSON.stringify(race)}`)
    this.#checkedRaceCount = invalidRaces.length
  }

  async #checkBills (): Promise<void> {
    const { fleet, traffic } = this.#dependencies
    const report = (await verifyBills(fleet.memoryTable)).unwrap()
    const errors = [...report.doubled.map(entry => `${entry} is doubled`), ...report.missing.map(entry => `${entry} is missing`), ...report.unreadable]
    this.#record(Guarantee.BilledOnce, errors.length === 0, () => `bill verification: ${errors.slice(0, 3).join('; ')}`)
    const billed = new Set((await readBillRecords(fleet.memoryTable)).unwrap().map(entry => entry.id))
    for (const chat of traffic.chats) {
      if (chat.outcome === RequestOutcome.Answered) this.#record(Guarantee.BilledOnce, billed.has(chat.id), () => `${chat.id} was answered completely and not billed`)
      if (chat.refusal?.run === RunState.NotRun) this.#record(Guarantee.BilledOnce, !billed.has(chat.id), () => `${chat.id} was not run and billed`)
    }
    for (const refund of traffic.refunds) {
      if (refund.outcome === RequestOutcome.Answered) this.#record(Guarantee.BilledOnce, billed.has(`${refund.organisation}/${refund.key}`), () => `${refund.key} was answered and not billed`)
    }
  }

  #isUndisturbed (daemon: FleetDaemon, from: number, to: number): boolean {
    return this.#dependencies.disturbances.isUndisturbed(scopesOf(daemon), from, to)
  }

  #wasDisturbed (daemon: FleetDaemon, from: number, to: number): boolean {
    return this.#dependencies.disturbances.wasDisturbed(daemon.name, from, to)
  }

  #record (name: Guarantee, holds: boolean, evidence: () => string): void {
    this.checks.set(name, (this.checks.get(name) ?? 0) + 1)
    if (holds) return
    this.violations.set(name, (this.violations.get(name) ?? 0) + 1)
    this.evidence.push(`${name}: ${evidence()}`)
  }
}

function scopesOf (daemon: FleetDaemon): string[] {
  return [daemon.name, daemon.place.dataCentre]
}

/** The data centre of an engine, whose name has the form `engine-<data centre>-<number>`. */
function dataCentreOf (endpoint: string): string {
  return endpoint.slice('engine-'.length, endpoint.lastIndexOf('-'))
}

function groupBy<Item> (items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const group = groups.get(keyOf(item)) ?? []
    groups.set(keyOf(item), group)
    group.push(item)
  }
  return groups
}
