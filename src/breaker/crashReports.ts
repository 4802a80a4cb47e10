/**
 * What all gateways saw of crashes: a set of reports, keyed by the crash and the reporter. The crash of an
 * incarnation happens once; an endpoint whose incarnations can't be told apart may crash again under its name.
 */
import { dropOldest, getOrCreate } from '../contract/index.ts'
import type { ObservedCrash } from './blame.ts'
import type { CrashReport } from './contract.ts'

/** Crashes are kept for this time. */
const retentionMilliseconds = 10 * 60_000
const maximumCrashes = 64
/** Crashes of this time are told to other gateways; older ones they have heard of. */
const toldCrashMilliseconds = 30_000
/** Reports of several gateways on an endpoint that may crash again under its name tell of one crash if they are this close. */
const sameCrashMilliseconds = 1_000

export class CrashReports {
  /** Reports by crash and reporter. */
  readonly #crashes = new Map<string, Map<string, CrashReport>>()
  /** What the reports tell by crash; undefined after a change. */
  #observed: readonly ObservedCrash[] | undefined

  /** All reports. */
  get all (): readonly CrashReport[] {
    return [...this.#crashes.values()].flatMap(reports => [...reports.values()])
  }

  /** The incarnations that have crashed, each with the time of its crash; crashes that may come again are under keys of their own. */
  get instances (): ReadonlyMap<string, number> {
    return new Map([...this.#crashes].map(([instance, reports]) => [instance, crashTime(reports)]))
  }

  /** The crashes, each with the runs and requests of all its reports. */
  get observed (): readonly ObservedCrash[] {
    this.#observed ??= [...this.#crashes.values()].map(observedCrash)
    return this.#observed
  }

  /** The reports that other gateways are told of. */
  told (now: number): readonly CrashReport[] {
    return this.all.filter(({ crashedAt }) => now - crashedAt < toldCrashMilliseconds)
  }

  /**
   * Adds a report.
   *
   * @returns when the crash happened; undefined if the report is known or old
   */
  add (report: CrashReport, now: number): number | undefined {
    if (now - report.crashedAt > retentionMilliseconds) return undefined
    const reports = getOrCreate(this.#crashes, this.#keyOf(report), () => new Map<string, CrashReport>())
    if (reports.has(report.reporter)) return undefined
    reports.set(report.reporter, report)
    dropOldest(this.#crashes, maximumCrashes)
    this.#observed = undefined
    return crashTime(reports)
  }

  /** Forgets crashes of long ago. */
  forgetOld (now: number): void {
    for (const [key, reports] of this.#crashes) {
      if ([...reports.values()].every(({ crashedAt }) => now - crashedAt > retentionMilliseconds)) this.#crashes.delete(key)
    }
    this.#observed = undefined
  }

  #keyOf ({ instance, reporter, crashedAt, recurrence }: CrashReport): string {
    if (recurrence === undefined) return instance
    for (let crash = 0; ; crash++) {
      const key = `${instance} crash ${crash}`
      const reports = this.#crashes.get(key)
      const own = reports?.get(reporter)
      if (reports === undefined || own?.recurrence === recurrence) return key
      if (own === undefined && Math.abs(crashTime(reports) - crashedAt) < sameCrashMilliseconds) return key
    }
  }
}

function observedCrash (reports: ReadonlyMap<string, CrashReport>): ObservedCrash {
  const all = [...reports.values()]
  return {
    crashedAt: crashTime(reports),
    reporters: new Set(reports.keys()),
    runs: all.flatMap(({ runs }) => runs),
    requests: all.flatMap(({ reporter, requests = [] }) => requests.map(request => ({ ...request, reporter }))),
    isExplainedByRequest: false
  }
}

/** When a crash that several gateways may have seen happened. */
function crashTime (reports: ReadonlyMap<string, CrashReport>): number {
  return Math.min(...[...reports.values()].map(({ crashedAt }) => crashedAt))
}
