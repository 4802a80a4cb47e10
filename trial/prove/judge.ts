/**
 * The ten promises, judged after each round from what callers were told, what engines and services
 * ran, and what the store holds.
 */
import { readBillRecords, verifyBills } from '../../src/billing/index.ts'
import { modelOf, RefusalCode, RunState } from '../../src/contract/index.ts'
import type { Disturbances } from './disturbances.ts'
import type { EngineRun } from './engineFarm.ts'
import type { Faults } from './faults.ts'
import { type Fleet, type FleetDaemon, organisations } from './fleet.ts'
import { CandidateState, type Operators } from './operators.ts'
import { CallerEnd, type ChatRecord, type RefundRecord, type Traffic } from './traffic.ts'

/** Each promise by a short name. */
export const PromiseName = {
  Allowed: '1 only allowed versions',
  Withdrawn: '2 a withdrawn version receives nothing new',
  Session: '3 a session keeps its version',
  Billed: '4 each request is billed exactly once',
  Whole: '5 the whole answer to its own request',
  NotRun: '6 not_run is true',
  Once: '7 a non-idempotent request runs at most once',
  Leaving: '8 a leaving endpoint receives nothing new',
  PlannedStop: '9 a planned stop cuts off no request',
  InForce: '10 settings in force within 4 s and never reverting',
  Orders: 'orders under an old lease are not carried out',
  Invariant: 'invariants inside the program hold'
} as const
export type PromiseName = typeof PromiseName[keyof typeof PromiseName]

const inForceMilliseconds = 4_000
const leavingMilliseconds = 5_000
/** Past its deadline a request is answered within this. */
const graceMilliseconds = 5_000
const deadlineMilliseconds = 20_000
const candidate = 'small@2'

/** What a judge reads. */
export interface JudgeParts {
  readonly fleet: Fleet
  readonly traffic: Traffic
  readonly operators: Operators
  readonly faults: Faults
  readonly disturbances: Disturbances
}

/** Counts checks and violations. */
export class Judge {
  readonly checks = new Map<PromiseName, number>()
  readonly violations = new Map<PromiseName, number>()
  readonly evidence: string[] = []
  readonly #parts: JudgeParts
  readonly #revisions = new Map<string, number>()
  #ordersSeen = 0
  #runsSeen = 0
  #racesSeen = 0

  constructor (parts: JudgeParts) {
    this.#parts = parts
  }

  /** Notes an invariant that broke inside the program. */
  invariantBroken (evidence: string): void {
    this.#check(PromiseName.Invariant, false, () => evidence)
  }

  /** Looks at every daemon's settings now; called a few times a second. */
  sampleSettings (): void {
    const { disturbances, fleet, operators } = this.#parts
    const now = fleet.clock.now()
    const due = operators.accepted.filter(change => change.acceptedAt <= now - inForceMilliseconds).at(-1)
    for (const daemon of fleet.daemons) {
      const revision = daemon.parts.follower.view.revision
      const last = this.#revisions.get(daemon.name) ?? 0
      this.#revisions.set(daemon.name, revision)
      this.#check(PromiseName.InForce, revision >= last, () => `${daemon.name} went from revision ${last} back to ${revision}`)
      if (due === undefined || !disturbances.isCalm(scopesOf(daemon), due.acceptedAt, now)) continue
      this.#check(PromiseName.InForce, revision >= due.revision, () => `${daemon.name} has revision ${revision} at ${now}, ${due.revision} was accepted at ${due.acceptedAt}`)
    }
  }

  /** Judges a round, after it has come to rest. */
  async judge (): Promise<void> {
    const { engines } = this.#parts.fleet
    const runs = engines.runs.slice(this.#runsSeen)
    this.#runsSeen = engines.runs.length
    const byRequest = groupedBy(runs, run => run.request)
    for (const chat of this.#parts.traffic.chats) this.#judgeChat(chat, byRequest.get(chat.id) ?? [])
    for (const refund of this.#parts.traffic.refunds) this.#judgeRefund(refund)
    this.#judgeOnce()
    this.#judgeOrders()
    this.#judgeRaces()
    await this.#judgeBills()
  }

  #judgeChat (chat: ChatRecord, runs: readonly EngineRun[]): void {
    this.#judgeEnd(chat, chat.id)
    for (const run of runs) this.#judgeRun(chat, run)
    if (chat.refusal?.run === RunState.NotRun) this.#check(PromiseName.NotRun, runs.length === 0, () => `${chat.id} was refused as not run and ran at ${runs[0]?.endpoint}`)
    if (chat.end === CallerEnd.Whole) {
      const isOwn = runs.some(run => this.#parts.fleet.engines.textOf(run) === chat.text)
      this.#check(PromiseName.Whole, isOwn, () => `${chat.id} was given ${chat.text.slice(0, 60)}…`)
    }
    if (chat.refusal?.code !== RefusalCode.AnswerCutOff) return
    const between = [...scopesOf(chat.daemon), ...runs.map(run => dataCentreOf(run.endpoint))]
    const mayBeCut = !this.#parts.disturbances.isCalm(between, chat.startedAt, chat.endedAt)
    this.#check(PromiseName.Whole, mayBeCut, () => `${chat.id} was cut off at ${chat.daemon.name} from ${runs.map(run => run.endpoint).join(', ')} though it could be reached: ${chat.refusal?.message}`)
  }

  #judgeRun (chat: ChatRecord, run: EngineRun): void {
    const allowed = organisations[chat.organisation] ?? []
    this.#check(PromiseName.Allowed, allowed.includes(modelOf(run.version)), () => `${chat.id} of ${chat.organisation} ran on ${run.version}`)
    if (chat.pinned !== undefined) this.#check(PromiseName.Session, run.version === chat.pinned, () => `${chat.id} has ${chat.pinned} and ran on ${run.version}`)
    this.#judgeLeaving(chat, run)
    if (run.version === candidate) this.#judgeCandidate(chat, run)
  }

  #judgeLeaving (chat: ChatRecord, run: EngineRun): void {
    for (const { endpoint, from, to } of this.#parts.faults.leaving) {
      if (endpoint !== run.endpoint || run.at >= to || run.at < from + leavingMilliseconds) continue
      if (!this.#isCalm(chat.daemon, from, run.at)) continue
      this.#check(PromiseName.Leaving, false, () => `${chat.id} ran at ${endpoint} ${run.at - from} ms after it said that it leaves`)
    }
    this.#check(PromiseName.Leaving, true, () => '')
  }

  #judgeCandidate (chat: ChatRecord, run: EngineRun): void {
    const { operators } = this.#parts
    if (operators.uncertainSince !== undefined && run.at >= operators.uncertainSince) return
    this.#check(PromiseName.Withdrawn, true, () => '')
    const stopped = this.#stoppedSince(run.at, chat.pinned === undefined)
    if (stopped === undefined || run.at < stopped + inForceMilliseconds) return
    // A daemon that is cut off knows of no withdrawal, but gives no new session to a version under roll-out.
    const isBound = this.#isCalm(chat.daemon, stopped, run.at) || (chat.pinned === undefined && !this.#wasFrozen(chat.daemon, stopped, run.at))
    if (isBound) this.#check(PromiseName.Withdrawn, false, () => `${chat.id} ran on ${candidate} at ${chat.daemon.name} ${run.at - stopped} ms after it was stopped`)
  }

  /** Since when the candidate was closed to such work at a moment; undefined where it was open. */
  #stoppedSince (moment: number, isNewSession: boolean): number | undefined {
    const closed = (state: CandidateState) => state === CandidateState.Withdrawn || (isNewSession && state === CandidateState.Halted)
    let since: number | undefined
    for (const change of this.#parts.operators.accepted) {
      if (closed(change.state)) since ??= change.acceptedAt
      else if (change.issuedAt <= moment) since = undefined
      if (change.acceptedAt > moment) break
    }
    return since !== undefined && since <= moment ? since : undefined
  }

  #judgeRefund (refund: RefundRecord): void {
    const name = `${refund.key} at ${refund.daemon.name}`
    this.#judgeEnd(refund, name)
    const runs = this.#parts.fleet.services.runs.filter(run => run.key === `${refund.organisation}/${refund.key}`)
    if (refund.refusal?.run === RunState.NotRun) this.#check(PromiseName.NotRun, !runs.some(run => run.daemon === refund.daemon.name), () => `${name} was refused as not run (${refund.refusal?.message}) and ran`)
    if (refund.end === CallerEnd.Whole) this.#check(PromiseName.Whole, refund.body.includes(`"${refund.organisation}/${refund.key}"`), () => `${name} was answered ${refund.body}`)
  }

  #judgeEnd (record: ChatRecord | RefundRecord, name: string): void {
    this.#check(PromiseName.PlannedStop, record.end !== CallerEnd.CutByStop, () => `${name} was cut off by a planned stop`)
    this.#check(PromiseName.Invariant, record.end !== CallerEnd.Broken, () => `${name}: ${String(this.#parts.traffic.evidence.at(-1))}`)
    const isLate = record.end === CallerEnd.Running && this.#parts.fleet.clock.now() > record.startedAt + deadlineMilliseconds + graceMilliseconds
    this.#check(PromiseName.Whole, !isLate || this.#wasFrozen(record.daemon, record.startedAt, record.startedAt + deadlineMilliseconds), () => `${name} never ended`)
  }

  #judgeOnce (): void {
    const runs = groupedBy(this.#parts.fleet.services.runs, run => run.key)
    for (const [key, list] of runs) this.#check(PromiseName.Once, list.length === 1, () => `${key} ran ${list.length} times, at ${list.map(run => `${run.daemon} ${run.at}`).join(', ')}`)
    this.#parts.fleet.services.runs.length = 0
  }

  #judgeOrders (): void {
    const highest = new Map<string, number>()
    for (const [index, order] of this.#parts.fleet.engines.orders.entries()) {
      const last = highest.get(order.endpoint) ?? 0
      highest.set(order.endpoint, Math.max(last, order.fencing))
      if (index < this.#ordersSeen) continue
      this.#check(PromiseName.Orders, order.fencing >= last, () => `${order.endpoint} carried out an order of ${order.daemon} under ${order.fencing} after ${last}`)
    }
    this.#ordersSeen = this.#parts.fleet.engines.orders.length
  }

  #judgeRaces (): void {
    const { badRaces } = this.#parts.operators
    for (const race of badRaces.slice(this.#racesSeen)) this.#check(PromiseName.InForce, false, () => `two operators: ${JSON.stringify(race)}`)
    this.#racesSeen = badRaces.length
  }

  async #judgeBills (): Promise<void> {
    const { fleet, traffic } = this.#parts
    const report = (await verifyBills(fleet.memory)).unwrap()
    const faults = [...report.doubled.map(entry => `${entry} is doubled`), ...report.missing.map(entry => `${entry} is missing`), ...report.unreadable]
    this.#check(PromiseName.Billed, faults.length === 0, () => `the books: ${faults.slice(0, 3).join('; ')}`)
    const billed = new Set((await readBillRecords(fleet.memory)).unwrap().map(entry => entry.id))
    for (const chat of traffic.chats) {
      if (chat.end === CallerEnd.Whole) this.#check(PromiseName.Billed, billed.has(chat.id), () => `${chat.id} was answered whole and not billed`)
      if (chat.refusal?.run === RunState.NotRun) this.#check(PromiseName.Billed, !billed.has(chat.id), () => `${chat.id} was not run and billed`)
    }
    for (const refund of traffic.refunds) {
      if (refund.end === CallerEnd.Whole) this.#check(PromiseName.Billed, billed.has(`${refund.organisation}/${refund.key}`), () => `${refund.key} was answered and not billed`)
    }
  }

  #isCalm (daemon: FleetDaemon, from: number, to: number): boolean {
    return this.#parts.disturbances.isCalm(scopesOf(daemon), from, to)
  }

  #wasFrozen (daemon: FleetDaemon, from: number, to: number): boolean {
    return this.#parts.disturbances.hasTouched(daemon.name, from, to)
  }

  #check (name: PromiseName, holds: boolean, evidence: () => string): void {
    this.checks.set(name, (this.checks.get(name) ?? 0) + 1)
    if (holds) return
    this.violations.set(name, (this.violations.get(name) ?? 0) + 1)
    this.evidence.push(`${name}: ${evidence()}`)
  }
}

function scopesOf (daemon: FleetDaemon): string[] {
  return [daemon.name, daemon.place.dataCentre]
}

/** Engines are named `engine-<data centre>-<number>`. */
function dataCentreOf (endpoint: string): string {
  return endpoint.slice('engine-'.length, endpoint.lastIndexOf('-'))
}

function groupedBy<Item> (items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const group = groups.get(keyOf(item)) ?? []
    groups.set(keyOf(item), group)
    group.push(item)
  }
  return groups
}
