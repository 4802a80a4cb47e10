/** Checks of what endpoints ran. */
import { endpointUnsound, gatewayOutOfTouch } from './excuses.ts'
import type { Finding } from './finding.ts'
import type { RequestRecord, RunRecord } from './records.ts'
import type { SoakView } from './soakView.ts'

/** How long two runs of a request may work side by side. */
const sideBySideMilliseconds = 400

/** Requests that may run once, and ran more often. */
export function findRepeatedRuns (view: SoakView): readonly Finding[] {
  return view.requests.flatMap(request => {
    const runs = view.runsOf(request.request)
    if (view.askedOf(request).route.isRepeatable || runs.length < 2) return []
    return [findingOf('run more than once', request, runs)]
  })
}

/** Two runs of one request that worked side by side for too long, at endpoints that could be told to stop. */
export function findRunsSideBySide (view: SoakView): readonly Finding[] {
  return view.requests.flatMap(request => {
    const runs = view.runsOf(request.request)
    if (!areSideBySide(runs) || runs.some(run => endpointUnsound(run, view))) return []
    if (gatewayOutOfTouch(request.gateway, { from: request.sentAt, to: request.endedAt }, view)) return []
    return [findingOf('two runs side by side', request, runs)]
  })
}

function areSideBySide (runs: readonly RunRecord[]): boolean {
  return runs.some((run, index) => {
    const next = runs[index + 1]
    return next !== undefined && Math.min(run.endedAt, next.endedAt) - next.startedAt > sideBySideMilliseconds
  })
}

function findingOf (check: string, { request, gateway, path }: RequestRecord, runs: readonly RunRecord[]): Finding {
  const detail = runs.map(({ endpoint, startedAt, endedAt, end }) => `${endpoint} ${new Date(startedAt).toISOString()} for ${endedAt - startedAt} ms, ${end}`).join('; ')
  return { check, subject: request, gateway, from: runs[0]?.startedAt ?? 0, to: runs.at(-1)?.endedAt ?? 0, detail: `${path}: ${detail}` }
}
