/**
 * Judges a trial by what callers, endpoints and the store saw, never by what daemons say of themselves.
 * A violation names the promise it breaks and its evidence.
 */
import type { BillEntry } from '../../src/billing/index.ts'
import type { EngineRun, ServiceRun } from '../../src/standin/index.ts'
import type { Seen } from './callers.ts'

/** A promise that a trial saw broken. */
export interface Violation {
  readonly promise: string
  readonly evidence: string
}

/** What a trial's judge looks at. */
export interface Evidence {
  readonly seen: readonly Seen[]
  readonly engineRuns: readonly EngineRun[]
  readonly serviceRuns: readonly ServiceRun[]
  readonly bills: readonly BillEntry[]
  /** What `bill verify` printed when it failed; undefined where it found no fault. */
  readonly billFaults: string | undefined
  /** When a withdrawal was accepted, milliseconds since the epoch. */
  readonly withdrawals: ReadonlyArray<{ readonly version: string, readonly acceptedAt: number }>
  /** Daemons that were stopped gracefully. */
  readonly stopped: ReadonlySet<string>
  /** Daemons that were killed: what was open there was lost with them. */
  readonly killed: ReadonlySet<string>
  /** Daemons whose settings were late, as an operator saw it. */
  readonly lateSettings: readonly string[]
  /** Engines that were told to leave. */
  readonly leaving: ReadonlyArray<{ readonly name: string, readonly at: number, readonly runs: readonly EngineRun[] }>
}

/** A change is in force everywhere within this time. */
export const settingsBoundMilliseconds = 4_000
/** A leaving endpoint gets nothing new after this time. */
const leavingBoundMilliseconds = 4_000

type Check = (evidence: Evidence) => string[]

const checks: Readonly<Record<string, Check>> = {
  'only allowed versions': ({ seen }) => seen
    .filter(({ version, organisation }) => version !== undefined && !organisation.models.includes(version.split('@')[0] ?? ''))
    .map(each => `${each.name} of ${each.organisation.name} ran on ${each.version}`),
  'a withdrawn version gets nothing new': ({ engineRuns, withdrawals }) => withdrawals.flatMap(({ version, acceptedAt }) => engineRuns
    .filter(run => run.version === version && run.takenAt > acceptedAt + settingsBoundMilliseconds)
    .map(run => `${run.request} was sent to ${version} ${run.takenAt - acceptedAt} ms after its withdrawal`)),
  'a session keeps its version': ({ seen }) => {
    const versions = new Map<string, Set<string>>()
    for (const { session, name, version } of seen) {
      const key = session ?? (name.endsWith('-0') ? name.slice(0, -2) : undefined)
      if (key === undefined || version === undefined) continue
      versions.set(key, (versions.get(key) ?? new Set()).add(version))
    }
    return [...versions].filter(([, names]) => names.size > 1).map(([session, names]) => `${session} ran on ${[...names].join(' and ')}`)
  },
  'each answered request is billed once': ({ seen, bills, billFaults }) => {
    const counts = new Map<string, number>()
    for (const bill of bills) counts.set(bill.id, (counts.get(bill.id) ?? 0) + 1)
    const answered = new Set(seen.filter(each => each.outcome === 'answered').map(each => each.billId ?? each.name))
    const missing = [...answered].filter(id => !counts.has(id)).map(id => `${id} was answered and not billed`)
    // A key's repeats may be recorded more than once: they fold to one bill, which "bill verify" recounts.
    const doubled = [...counts].filter(([id, count]) => count > 1 && !id.includes('/')).map(([id, count]) => `${id} was billed ${count} times`)
    const refused = seen.filter(each => each.outcome === 'not_run' && each.billId !== undefined && !answered.has(each.billId) && counts.has(each.billId))
    return [...missing, ...doubled, ...refused.map(each => `${each.name} was refused not_run and billed`), ...(billFaults === undefined ? [] : [billFaults])]
  },
  'a caller gets the whole answer to its own request': ({ seen }) => seen.filter(each => each.isWrong).map(each => `${each.name} got a wrong text`),
  'a not_run is true': ({ seen, engineRuns, serviceRuns }) => {
    const settled = new Set(seen.filter(each => each.outcome !== 'not_run' && each.idempotencyKey !== undefined).map(each => each.billId))
    const keys = new Set(serviceRuns.map(run => run.idempotencyKey))
    const ran = new Set(engineRuns.map(run => run.request))
    return seen.filter(each => each.outcome === 'not_run')
      .filter(each => each.idempotencyKey === undefined ? ran.has(each.name) : keys.has(each.billId) && !settled.has(each.billId))
      .map(each => `${each.name} was refused not_run (${each.code}) and ran`)
  },
  'a call that is not idempotent runs at most once': ({ serviceRuns }) => {
    const counts = new Map<string, number>()
    for (const { idempotencyKey } of serviceRuns) {
      if (idempotencyKey !== undefined) counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1)
    }
    return [...counts].filter(([, count]) => count > 1).map(([key, count]) => `${key} ran ${count} times`)
  },
  'a leaving endpoint gets nothing new': ({ leaving }) => leaving.flatMap(({ name, at, runs }) => runs
    .filter(run => run.takenAt > at + leavingBoundMilliseconds)
    .map(run => `${run.request} was sent to ${name} ${run.takenAt - at} ms after it began to leave`)),
  'a planned stop cuts off no request': ({ seen, stopped, killed }) => seen
    .filter(each => each.outcome === 'connection_lost' && stopped.has(each.daemon) && !killed.has(each.daemon))
    .map(each => `${each.name} was cut off at ${each.daemon}`),
  'settings are in force everywhere in time': ({ lateSettings }) => [...lateSettings]
}

/** The promises that are judged. */
export const judgedPromises: readonly string[] = Object.keys(checks)

/** Finds every violation. */
export function judge (evidence: Evidence): Violation[] {
  return Object.entries(checks).flatMap(([promise, check]) => check(evidence).map(found => ({ promise, evidence: found })))
}
