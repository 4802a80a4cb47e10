import { expect, test } from 'vitest'
import { type EndpointDescription, EndpointKind, Err, type LoadReport, Ok, type Result, SeededRandomness, SystemClock } from '../src/contract/index.ts'
import { EndpointPoller, type LoadReportClient } from '../src/membership/endpointPoller.ts'
import { EndpointTable } from '../src/membership/endpointTable.ts'
import { MemberTable } from '../src/membership/memberTable.ts'
import { linkIdentityOf } from './fakes/delayedEcho.ts'
import { block, pause } from './fakes/rawCaller.ts'

/** Beyond the time that a poll waits for its report. */
const stallMilliseconds = 1_000
const self = linkIdentityOf('stalling')
const endpoint: EndpointDescription = { name: 'engine', kind: EndpointKind.Engine, address: 'engine:9000', place: self.place, versions: ['small@1'], service: undefined, checksFencing: true }

function reportAt (at: number): LoadReport {
  return { at, incarnation: 1, versions: ['small@1'], running: 1, queued: 0, queuedPromptTokens: 0, streamLimit: 8, prefillTokensPerSecond: 8_000, betweenTokensMilliseconds: 12, leaving: false }
}

function nextTurn (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}

/** The engine's state after a poll in which the event loop is held up until its report is due. */
async function failuresAfterPoll (answer: (clock: SystemClock, signal: AbortSignal, pollCount: number) => Promise<Result<LoadReport, string>>): Promise<number | undefined> {
  const clock = new SystemClock()
  clock.startMonitor(() => undefined)
  let pollCount = 0
  const engines: LoadReportClient = { report: async (_endpoint, signal) => await answer(clock, signal, ++pollCount) }
  const endpointTable = new EndpointTable(clock)
  const broadcastTree = { broadcast: () => undefined, broadcastNow: () => undefined } as never
  const poller = new EndpointPoller({ self, clock, randomness: new SeededRandomness(1), engines, endpoints: () => [endpoint], members: new MemberTable(self, clock), endpointTable, broadcastTree })
  const stopping = new AbortController()
  const ended = poller.run(stopping.signal)
  await pause(stallMilliseconds + 200)
  stopping.abort()
  await ended
  return endpointTable.record(endpoint.name)?.failures
}

test('a report that arrives in a stall of the event loop does not count as a failed poll', async () => {
  const failures = await failuresAfterPoll(async (clock, signal, pollCount) => {
    await nextTurn()
    if (pollCount === 1) block(stallMilliseconds)
    // The report lies in the kernel; the timers that are due run first.
    await nextTurn()
    return signal.aborted ? Err('late') : Ok(reportAt(clock.now()))
  })
  expect(failures).toBe(0)
})

test.each([[1, 0], [2, 1]])('of an engine\'s reports that fail in a stall, %i in a row count as %i failed polls', async (failingCount, expected) => {
  const failures = await failuresAfterPoll(async (clock, _signal, pollCount) => {
    await nextTurn()
    if (pollCount === 1) block(stallMilliseconds / 2)
    return pollCount <= failingCount ? Err('the connection ended') : Ok(reportAt(clock.now()))
  })
  expect(failures).toBe(expected)
})
