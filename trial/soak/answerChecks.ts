/** Checks of what callers got for their requests. */
import { CallerHabit } from './callerPlan.ts'
import { answerOwedAt, callerLinkBroken, cancelledItsStream, endpointUnsound, failedBehindBegunAnswer, gatewayEnded, gatewayKilled, gatewayOutOfTouch, mayRunAgain, ownTimeWasOver, waitedForProcessors, wasAtWorkLateInStop, wasBehindClose } from './excuses.ts'
import type { Finding } from './finding.ts'
import { CallerEnd, type RequestRecord, type RunRecord } from './records.ts'
import type { SoakView } from './soakView.ts'

const halfCloseCheck = 'closed without an answer to a caller that ended its own side only'
/** How much later than owed an answer may come. */
const lateAnswerMilliseconds = 500
/** Statuses that promise that a request was not run, and never will be. */
const notRunStatuses: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503])

/** Requests that a sound endpoint ran, and whose connection was closed before a whole answer. */
export function findLostRequests (view: SoakView): readonly Finding[] {
  return closedRequests(view).flatMap(request => {
    const soundRuns = view.runsOf(request.request).filter(run => !endpointUnsound(run, view) && !failedBehindBegunAnswer(run, request))
    if (soundRuns.length === 0 || wasAtWorkLateInStop(request, view) || cancelledItsStream(request, view)) return []
    const check = request.habit === CallerHabit.HalfClose ? halfCloseCheck : 'passed on and closed without a whole answer'
    return [findingOf(check, request, `${describeRuns(soundRuns)}${describeAhead(request, view)}`)]
  })
}

/** Whole requests that were neither passed on nor refused, on connections that were closed without a reason that callers know. */
export function findDroppedRequests (view: SoakView): readonly Finding[] {
  return closedRequests(view).flatMap(request => {
    const wasRead = request.wholeAt !== undefined && view.runsOf(request.request).length === 0
    if (!wasRead || wasBehindClose(request, view) || gatewayEnded(request, view)) return []
    const check = request.habit === CallerHabit.HalfClose ? halfCloseCheck : 'closed without being passed on or refused'
    return [findingOf(check, request, 'not run')]
  })
}

/** Requests whose connection was closed before a whole answer, by neither the caller nor the soak, and while they had time. */
function closedRequests (view: SoakView): readonly RequestRecord[] {
  return view.requests.filter(request => {
    const isClosed = request.end === CallerEnd.Closed || request.end === CallerEnd.Reset
    return isClosed && !gatewayKilled(request, view) && !callerLinkBroken(request, view) && !ownTimeWasOver(request, view)
  })
}

/** Whole requests whose answers came late, or not at all. */
export function findLateAnswers (view: SoakView): readonly Finding[] {
  return view.requests.flatMap(request => {
    const { end, endedAt, wholeAt, gateway } = request
    const owedAt = answerOwedAt(request, view)
    const milliseconds = endedAt - owedAt - waitedForProcessors(request, owedAt, view)
    const isInTime = wholeAt === undefined || milliseconds <= lateAnswerMilliseconds
    const isMissing = end === CallerEnd.Answered || end === CallerEnd.Unanswered
    if (!isMissing || isInTime) return []
    const span = { from: view.connectionUsedFrom(request), to: endedAt }
    if (callerLinkBroken(request, view) || gatewayOutOfTouch(gateway, span, view)) return []
    return [findingOf(end === CallerEnd.Answered ? 'answered late' : 'never answered', request, `${milliseconds} ms after it was owed, ${describeRuns(view.runsOf(request.request))}`)]
  })
}

/** Requests that were refused as not run, and ran. */
export function findBrokenPromises (view: SoakView): readonly Finding[] {
  return view.requests.flatMap(request => {
    const runs = view.runsOf(request.request)
    if (!notRunStatuses.has(request.status) || runs.length === 0 || mayRunAgain(request, view)) return []
    return [findingOf('refused as not run, and run', request, `${request.status}, ${describeRuns(runs)}`)]
  })
}

/** Answers that belong to another request, or to none. */
export function findMixedAnswers (view: SoakView): readonly Finding[] {
  const unasked = view.unaskedAnswers.map(answer => findingOf('an answer without a request', answer, `status ${answer.status}, of ${answer.answeredRequest}`))
  const mixed = view.requests.flatMap(request => {
    const { status, answeredRequest, answeredBy } = request
    if (answeredRequest !== undefined && answeredRequest !== request.request) return [findingOf('the answer of another request', request, `of ${answeredRequest}`)]
    const isSuccess = status !== undefined && status >= 200 && status < 300
    const hasRunThere = view.runsOf(request.request).some(({ endpoint }) => endpoint === answeredBy)
    return isSuccess && !hasRunThere ? [findingOf('a success that no endpoint gave', request, `signed by ${answeredBy}, ${describeRuns(view.runsOf(request.request))}`)] : []
  })
  return [...unasked, ...mixed]
}

/** Streams with missing or repeated events, or that look complete before their last one. */
export function findStreamGaps (view: SoakView): readonly Finding[] {
  return view.requests.flatMap(request => {
    const { eventCount } = view.askedOf(request)
    if (eventCount === 0 || request.status !== 200) return []
    const first = Number(request.resumedAfter ?? 0) + 1
    const isInOrder = request.events.every((id, index) => Number(id) === first + index)
    const isComplete = request.end !== CallerEnd.Answered || first + request.events.length - 1 === eventCount
    if (isInOrder && isComplete) return []
    return [findingOf('a stream with a gap', request, `events ${request.events.join(' ')} of ${first} to ${eventCount}, ${request.end}`)]
  })
}

function findingOf (check: string, request: RequestRecord, detail: string): Finding {
  const { habit, end } = request
  return { check, subject: request.request, gateway: request.gateway, from: request.sentAt, to: request.endedAt, detail: `${request.path}, ${end}${habit === undefined ? '' : `, ${habit}`}: ${detail}` }
}

function describeRuns (runs: readonly RunRecord[]): string {
  if (runs.length === 0) return 'not run'
  return runs.map(({ endpoint, startedAt, endedAt, end }) => `run at ${endpoint} for ${endedAt - startedAt} ms, ${end}`).join('; ')
}

/** The first request ahead whose answer was not whole: its cut took the connection along. */
function describeAhead (request: RequestRecord, view: SoakView): string {
  const cut = view.requestsAhead(request).find(({ end }) => end !== CallerEnd.Answered)
  return cut === undefined ? '' : `; behind ${cut.request} (${cut.path}, ${cut.status ?? 'no answer begun'}, ${cut.end})`
}
