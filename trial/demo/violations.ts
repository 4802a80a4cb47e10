/**
 * Checks the guarantees against the records of callers, endpoints and the store, never against what
 * daemons report about themselves.
 */
import type { BillEntry } from '../../src/billing/index.ts'
import type { EngineRun, ServiceRun } from '../../src/standin/index.ts'
import type { RequestObservation } from './callers.ts'

/** A guarantee that did not hold, with the evidence. */
export interface Violation {
  readonly guarantee: string
  readonly evidence: string
}

/** The records of a trial that the checks use. */
export interface TrialRecord {
  readonly observations: readonly RequestObservation[]
  readonly engineRuns: readonly EngineRun[]
  readonly serviceRuns: readonly ServiceRun[]
  readonly bills: readonly BillEntry[]
  /** The output of `bill verify` if it failed; undefined if it found no fault. */
  readonly billVerificationOutput: string | undefined
  /** The withdrawn versions and the times at which the withdrawals were accepted, in milliseconds since the epoch. */
  readonly withdrawals: ReadonlyArray<{ readonly version: string, readonly acceptedAt: number }>
  /** Daemons that were stopped gracefully. */
  readonly stoppedDaemons: ReadonlySet<string>
  /** Daemons that were killed; their open requests may be lost. */
  readonly killedDaemons: ReadonlySet<string>
  /** Messages about daemons at which a settings change was not in force in time. */
  readonly lateSettings: readonly string[]
  /** Engines that were marked as leaving, and when. */
  readonly leavingEngines: ReadonlyArray<{ readonly name: string, readonly at: number, readonly runs: readonly EngineRun[] }>
}

/** A settings change must be in force at every daemon within this time. */
export const settingsPropagationLimitMilliseconds = 4_000
/** A leaving endpoint must not receive new requests after this time. */
const leavingGraceMilliseconds = 4_000

type GuaranteeCheck = (record: TrialRecord) => string[]

const checks: Readonly<Record<string, GuaranteeCheck>> = {
  'only allowed versions': ({ observations }) => observations
    .filter(({ version, organisation }) => version !== undefined && !organisation.models.includes(version.split('@')[0] ?? ''))
    .map(each => `${each.name} of ${each.organisation.name} ran on ${each.version}`),
  'a withdrawn version gets nothing new': ({ engineRuns, withdrawals }) => withdrawals.flatMap(({ version, acceptedAt }) => engineRuns
    .filter(run => run.version === version && run.takenAt > acceptedAt + settingsPropagationLimitMilliseconds)
    .map(run => `${run.request} was sent to ${version} ${run.takenAt - acceptedAt} ms after its withdrawal`)),
  'a session keeps its version': ({ observations }) => {
    const versions = new Map<string, Set<string>>()
    for (const { session, name, version } of observations) {
      const key = session ?? (name.endsWith('-0') ? name.slice(0, -2) : undefined)
      if (key === undefined || version === undefined) continue
      versions.set(key, (versions.get(key) ?? new Set()).add(version))
    }
    return [...versions].filter(([, names]) => names.size > 1).map(([session, names]) => `${session} ran on ${[...names].join(' and ')}`)
  },
  'each answered request is billed once': ({ observations, bills, billVerificationOutput }) => {
    const counts = new Map<string, number>()
    for (const bill of bills) counts.set(bill.id, (counts.get(bill.id) ?? 0) + 1)
    const answered = new Set(observations.filter(each => each.outcome === 'answered').map(each => each.billId ?? each.name))
    const missing = [...answered].filter(id => !counts.has(id)).map(id => `${id} was answered and not billed`)
    // Repeats of a call with one key may be recorded more than once; they are billed once, which `bill verify` checks.
    const doubled = [...counts].filter(([id, count]) => count > 1 && !id.includes('/')).map(([id, count]) => `${id} was billed ${count} times`)
    const refused = observations.filter(each => each.outcome === 'not_run' && each.billId !== undefined && !answered.has(each.billId) && counts.has(each.billId))
    return [...missing, ...doubled, ...refused.map(each => `${each.name} was refused not_run and billed`), ...(billVerificationOutput === undefined ? [] : [billVerificationOutput])]
  },
  'a caller gets the whole answer to its own request': ({ observations }) => observations.filter(each => each.hasWrongText).map(each => `${each.name} received an incomplete text or that of another request or version`),
  'a not_run is true': ({ observations, engineRuns, serviceRuns }) => {
    const settled = new Set(observations.filter(each => each.outcome !== 'not_run' && each.idempotencyKey !== undefined).map(each => each.billId))
    const keys = new Set(serviceRuns.map(run => run.idempotencyKey))
    const ran = new Set(engineRuns.map(run => run.request))
    return observations.filter(each => each.outcome === 'not_run')
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
  'a leaving endpoint gets nothing new': ({ leavingEngines }) => leavingEngines.flatMap(({ name, at, runs }) => runs
    .filter(run => run.takenAt > at + leavingGraceMilliseconds)
    .map(run => `${run.request} was sent to ${name} ${run.takenAt - at} ms after it was marked as leaving`)),
  'a planned stop cuts off no request': ({ observations, stoppedDaemons, killedDaemons }) => observations
    .filter(each => each.outcome === 'connection_lost' && stoppedDaemons.has(each.daemon) && !killedDaemons.has(each.daemon))
    .map(each => `${each.name} was cut off at ${each.daemon}`),
  'settings are in force everywhere in time': ({ lateSettings }) => [...lateSettings]
}

export const checkedGuarantees: readonly string[] = Object.keys(checks)

export function findViolations (record: TrialRecord): Violation[] {
  return Object.entries(checks).flatMap(([guarantee, check]) => check(record).map(found => ({ guarantee, evidence: found })))
}
