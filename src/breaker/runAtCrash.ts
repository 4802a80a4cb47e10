/** A run at an endpoint at the moment in which that crashed, and what is told and logged of it. */
import type { SharedPrompt, SuspectRequest, SuspectRun } from './contract.ts'

/** Number of runs in a report. */
const maximumSuspects = 4
/** Number of requests in a report. */
const maximumSuspectRequests = 64
/** Number of runs in a log line. */
const maximumLoggedRuns = 12

export interface RunAtCrash {
  readonly prompt: SharedPrompt
  readonly sentAt: number
  /** Undefined if its response had not begun. */
  readonly begunAt: number | undefined
  /** Undefined if the run can't be the cause through a part that it shares. */
  readonly suspect: SuspectRun | undefined
}

/** Orders runs: those that began last first, and behind them those that had not begun, the last sent first. */
export function latestFirst (left: RunAtCrash, right: RunAtCrash): number {
  return compareLatest(left.begunAt, right.begunAt) || compareLatest(left.sentAt, right.sentAt)
}

/** The runs to report for the prompt parts that they share. */
export function suspectsAmong (runs: readonly RunAtCrash[]): readonly SuspectRun[] {
  const suspects = runs.flatMap(({ suspect }) => suspect ?? [])
  return suspects.filter(({ prompt }) => prompt.parts.length > 0).slice(0, maximumSuspects)
}

/**
 * The requests to report.
 *
 * @param isSuspect whether a request lay at other crashes; those come first, so that the bound hides none of them
 */
export function suspectRequestsAmong (runs: readonly RunAtCrash[], isSuspect: (prompt: SharedPrompt) => boolean): readonly SuspectRequest[] {
  const known = runs.filter(({ prompt }) => isSuspect(prompt))
  const others = runs.filter(({ prompt }) => !isSuspect(prompt))
  return [...known, ...others].flatMap(suspectRequestOf).slice(0, maximumSuspectRequests)
}

/** Describes runs for the log. */
export function describeRuns (runs: readonly RunAtCrash[], crashedAt: number): readonly string[] {
  return runs.slice(0, maximumLoggedRuns).map(run => describe(run, crashedAt))
}

function suspectRequestOf ({ prompt: { organisation, request, parts }, sentAt, begunAt }: RunAtCrash): readonly SuspectRequest[] {
  if (request === undefined) return []
  return [{ organisation, request, sentAt, parts: begunAt === undefined ? parts : undefined }]
}

function describe ({ prompt, sentAt, begunAt }: RunAtCrash, crashedAt: number): string {
  const parts = prompt.parts.length === 0 ? '' : ` ${prompt.parts.join(',')}`
  const begun = begunAt === undefined ? '' : `, begun ${Math.round(crashedAt - begunAt)}ms`
  return `${prompt.organisation} request ${prompt.request ?? '-'}${parts} sent ${Math.round(crashedAt - sentAt)}ms${begun} before`
}

/** An undefined time is before all others. */
function compareLatest (left = Number.MIN_SAFE_INTEGER, right = Number.MIN_SAFE_INTEGER): number {
  return right - left
}
