import { readdirSync, readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { ClaimPoint, parseClaimRow, claimTableName, ClaimState, claimKeyOf, TableClaims, type Claim, type ClaimObserver, type ClaimRequest } from '../src/claim/index.ts'
import { Refusal, RefusalCode, RunState, SeededRandomness } from '../src/contract/index.ts'
import { answerFor, callOnce, CallFault, RecordingService } from '../trial/prove/claimCaller.ts'
import { FaultyTableService, TableFault, type TableCall } from './fakes/faultyTableService.ts'
import { ManualClock } from './fakes/manualClock.ts'

function setUp (observer?: ClaimObserver) {
  const clock = new ManualClock()
  const table = new FaultyTableService(clock)
  const service = new RecordingService(clock)
  const createClaims = (name: string, claimObserver?: ClaimObserver) => new TableClaims({ table, clock, randomness: new SeededRandomness(name.length), holder: name, ...(claimObserver === undefined ? {} : { observer: claimObserver }) })
  return { clock, table, service, first: createClaims('entry-1', observer), second: createClaims('entry-22') }
}

function requestAt (clock: ManualClock, overrides: Partial<ClaimRequest> = {}): ClaimRequest {
  return { organisation: 'harbour', idempotencyKey: 'refund-17', requestHash: 'a', deadline: clock.now() + 60_000, ...overrides }
}

async function open (claims: TableClaims, request: ClaimRequest) {
  return (await claims.open(request)).unwrap()
}

async function acquireClaim (claims: TableClaims, request: ClaimRequest): Promise<Claim> {
  const opening = await open(claims, request)
  if (opening.kind !== 'mine') throw new Error(`expected to acquire the claim, but opening it returned ${opening.kind}`)
  return opening.claim
}

async function readRow (table: FaultyTableService, request: ClaimRequest) {
  const read = (await table.memoryTable.read(claimTableName, claimKeyOf(request))).unwrap()
  return parseClaimRow(read?.value)
}

function isWriteOf (state: ClaimState): (call: TableCall) => boolean {
  return call => call.kind === 'transact' && call.transaction.writes.some(write => parseClaimRow(write.value)?.state === state)
}

/** Injects the fault into the first matching call only. */
function once (matches: (call: TableCall) => boolean, fault: TableFault) {
  let isInjected = false
  return (call: TableCall) => {
    if (isInjected || !matches(call)) return { fault: TableFault.None }
    isInjected = true
    return { fault }
  }
}

function expectRefusal (result: { readonly val: unknown }): Refusal {
  expect(result.val).toBeInstanceOf(Refusal)
  return result.val as Refusal
}

test('a repeat at another daemon gets the recorded answer', async () => {
  const { clock, first, second } = setUp()
  const claim = await acquireClaim(first, requestAt(clock))
  await claim.dispatch()
  await claim.settle(answerFor('refund-17'))
  expect(await open(second, requestAt(clock))).toEqual({ kind: 'answer', answer: answerFor('refund-17') })
})

test('when two daemons open the same key at once, one gets the claim and the other is told that the request is running', async () => {
  const { clock, first, second } = setUp()
  const openings = await Promise.all([open(first, requestAt(clock)), open(second, requestAt(clock))])
  expect(openings.map(opening => opening.kind).sort()).toEqual(['mine', 'running'])
})

test('the same key with a different body is a mismatch, before and after the answer is recorded', async () => {
  const { clock, first, second } = setUp()
  const claim = await acquireClaim(first, requestAt(clock))
  expect(await open(second, requestAt(clock, { requestHash: 'b' }))).toEqual({ kind: 'mismatch' })
  await claim.dispatch()
  await claim.settle(answerFor('refund-17'))
  expect(await open(second, requestAt(clock, { requestHash: 'b' }))).toEqual({ kind: 'mismatch' })
})

test('a holder paused beyond its lease cannot dispatch after another daemon took the claim over', async () => {
  const { clock, first, second } = setUp()
  const paused = await acquireClaim(first, requestAt(clock))
  await clock.advance(4_999)
  expect((await open(second, requestAt(clock))).kind).toBe('running')
  await clock.advance(1)
  const takeover = await acquireClaim(second, requestAt(clock))
  expect(expectRefusal(await paused.dispatch()).run).toBe(RunState.NotRun)
  expect((await takeover.dispatch()).ok).toBe(true)
})

test('a dispatch still in progress when the claim is taken over does not send', async () => {
  const { clock, table, first, second } = setUp()
  const paused = await acquireClaim(first, requestAt(clock))
  table.script = once(isWriteOf(ClaimState.Dispatching), TableFault.None)
  table.script = call => isWriteOf(ClaimState.Dispatching)(call) ? { fault: TableFault.None, requestDelayMilliseconds: 1_400 } : { fault: TableFault.None }
  await clock.advance(4_000)
  const dispatching = paused.dispatch()
  await clock.advance(1_000)
  await acquireClaim(second, requestAt(clock))
  await clock.advance(1_000)
  const refusal = expectRefusal(await dispatching)
  expect([refusal.code, refusal.run]).toEqual([RefusalCode.RequestStillRunning, RunState.NotRun])
})

test('a dispatching claim is never taken over, whatever its age', async () => {
  const { clock, first, second } = setUp()
  const claim = await acquireClaim(first, requestAt(clock))
  await claim.dispatch()
  await clock.advance(3_600_000)
  expect((await open(second, requestAt(clock))).kind).toBe('unknown')
  expect((await claim.settle(answerFor('refund-17'))).ok).toBe(true)
  expect((await open(second, requestAt(clock))).kind).toBe('answer')
})

test('a claim whose write lost its reply is read back and not written twice', async () => {
  const { clock, table, first } = setUp()
  table.script = once(isWriteOf(ClaimState.Prepared), TableFault.ReplyLost)
  const claim = await acquireClaim(first, requestAt(clock))
  expect((await readRow(table, requestAt(clock)))?.nonce).toBe(claim.nonce)
  expect((await claim.dispatch()).ok).toBe(true)
})

test('a dispatch whose write lost its reply is read back and may send', async () => {
  const { clock, table, first } = setUp()
  const claim = await acquireClaim(first, requestAt(clock))
  table.script = once(isWriteOf(ClaimState.Dispatching), TableFault.ReplyLost)
  expect((await claim.dispatch()).ok).toBe(true)
})

test('while the store is down a request is refused at once as not run', async () => {
  const { clock, table, first } = setUp()
  table.script = () => ({ fault: TableFault.Down })
  const refusal = expectRefusal(await first.open(requestAt(clock)))
  expect([refusal.code, refusal.run]).toEqual([RefusalCode.StoreUnavailable, RunState.NotRun])
  expect(refusal.retryAfterSeconds).toBeGreaterThan(0)
})

test('when the store never replies, a request is refused as not run within the store timeout', async () => {
  const { clock, table, first } = setUp()
  table.script = () => ({ fault: TableFault.None, requestDelayMilliseconds: 3_600_000 })
  const opening = first.open(requestAt(clock))
  await clock.advance(1_600)
  expect(expectRefusal(await opening).run).toBe(RunState.NotRun)
})

test('a claim whose write has an unknown outcome is abandoned, and its row is released when the store recovers', async () => {
  const { clock, table, first, second } = setUp()
  table.script = call => ({ fault: call.kind === 'transact' ? TableFault.ReplyLost : TableFault.Down })
  const opening = first.open(requestAt(clock))
  await clock.advance(2_000)
  expect(expectRefusal(await opening).run).toBe(RunState.NotRun)
  table.script = () => ({ fault: TableFault.None })
  await clock.advance(2_000)
  expect(first.queuedChanges).toBe(0)
  expect((await open(second, requestAt(clock))).kind).toBe('mine')
})

test('a dispatch whose write has an unknown outcome is not sent, and its row is released when the store recovers', async () => {
  const { clock, table, first, second } = setUp()
  const claim = await acquireClaim(first, requestAt(clock))
  table.script = call => ({ fault: call.kind === 'transact' ? TableFault.ReplyLost : TableFault.Down })
  const dispatching = claim.dispatch()
  await clock.advance(2_000)
  expect(expectRefusal(await dispatching).run).toBe(RunState.NotRun)
  expect((await readRow(table, requestAt(clock)))?.state).toBe(ClaimState.Dispatching)
  table.script = () => ({ fault: TableFault.None })
  await clock.advance(3_000)
  expect((await open(second, requestAt(clock))).kind).toBe('mine')
})

test('an answer that could not be recorded during a store outage is recorded when the store recovers', async () => {
  const { clock, table, first, second } = setUp()
  const claim = await acquireClaim(first, requestAt(clock))
  await claim.dispatch()
  table.script = () => ({ fault: TableFault.Down })
  expect(expectRefusal(await claim.settle(answerFor('refund-17'))).run).toBe(RunState.Ran)
  await clock.advance(60_000)
  table.script = () => ({ fault: TableFault.None })
  await clock.advance(10_000)
  expect((await open(second, requestAt(clock))).kind).toBe('answer')
})

test('a holder that resumes after its send window releases the key', async () => {
  const { clock, table, first, second } = setUp()
  const claim = await acquireClaim(first, requestAt(clock, { deadline: clock.now() + 1_000 }))
  table.script = call => isWriteOf(ClaimState.Dispatching)(call) ? { fault: TableFault.None, replyDelayMilliseconds: 1_200 } : { fault: TableFault.None }
  const dispatching = claim.dispatch()
  await clock.advance(2_000)
  expect(expectRefusal(await dispatching).run).toBe(RunState.NotRun)
  expect((await open(second, requestAt(clock))).kind).toBe('mine')
})

test('an unknown outcome is resolved by the answer that the service has kept', async () => {
  const { clock, first, second } = setUp()
  const claim = await acquireClaim(first, requestAt(clock))
  await claim.dispatch()
  await claim.markUnknown()
  expect((await second.resolve(requestAt(clock), async () => undefined)).unwrap().kind).toBe('unknown')
  expect((await second.resolve(requestAt(clock), async () => answerFor('refund-17'))).unwrap().kind).toBe('answer')
  expect((await open(first, requestAt(clock))).kind).toBe('answer')
})

test('a key that the service reports as not run is released only when no request can still be in flight', async () => {
  const { clock, first, second } = setUp()
  const claim = await acquireClaim(first, requestAt(clock))
  await claim.dispatch()
  await claim.markUnknown()
  expect((await second.resolve(requestAt(clock), async () => 'not_run')).unwrap().kind).toBe('unknown')
  await clock.advance(60_000 + 600_000)
  expect((await second.resolve(requestAt(clock), async () => 'not_run')).unwrap().kind).toBe('mine')
})

test('a request that was never sent releases its key at once', async () => {
  const { clock, first, second } = setUp()
  const claim = await acquireClaim(first, requestAt(clock))
  await claim.dispatch()
  await claim.release()
  expect((await open(second, requestAt(clock))).kind).toBe('mine')
})

const interruptionPoints = Object.values(ClaimPoint).flatMap(point => ['before', 'after'].map(moment => ({ point, moment })))

/** Faults that together lead a request through the claim points. */
const faultScenarios: readonly { readonly callFault: CallFault, readonly script: () => (call: TableCall) => { fault: TableFault } }[] = [
  { callFault: CallFault.None, script: () => () => ({ fault: TableFault.None }) },
  { callFault: CallFault.None, script: () => once(isWriteOf(ClaimState.Prepared), TableFault.ReplyLost) },
  { callFault: CallFault.None, script: () => once(isWriteOf(ClaimState.Dispatching), TableFault.RequestLost) },
  { callFault: CallFault.None, script: () => once(isWriteOf(ClaimState.Done), TableFault.Down) },
  { callFault: CallFault.NeverSent, script: () => () => ({ fault: TableFault.None }) },
  { callFault: CallFault.ReplyLost, script: () => () => ({ fault: TableFault.None }) },
  { callFault: CallFault.ArrivesLate, script: () => () => ({ fault: TableFault.None }) }
]

class PausingObserver implements ClaimObserver {
  readonly visitedPoints = new Set<ClaimPoint>()
  readonly #pause: (point: ClaimPoint, moment: string) => Promise<void>

  constructor (pause: (point: ClaimPoint, moment: string) => Promise<void>) {
    this.#pause = pause
  }

  before (point: ClaimPoint): Promise<void> {
    this.visitedPoints.add(point)
    return this.#pause(point, 'before')
  }

  after (point: ClaimPoint): Promise<void> {
    return this.#pause(point, 'after')
  }
}

/** Runs a request whose daemon is paused once, at the given point, while another daemon repeats it; returns the outcomes and what the service ran. */
async function runWithPause (scenario: typeof faultScenarios[number], interruption: { point: ClaimPoint, moment: string }, pauseMilliseconds: number) {
  const clockReference: { clock?: ManualClock } = {}
  let hasPaused = false
  const observer = new PausingObserver(async (point, moment) => {
    if (hasPaused || point !== interruption.point || moment !== interruption.moment) return
    hasPaused = true
    await clockReference.clock?.sleep(pauseMilliseconds)
  })
  const { clock, table, service, first, second } = setUp(observer)
  clockReference.clock = clock
  table.script = scenario.script()
  const request = requestAt(clock)
  const outcomes: { attempt: number, outcome: unknown }[] = []
  const call = async (claims: TableClaims, attempt: number) => {
    const callFault = attempt === 1 ? scenario.callFault : CallFault.None
    const outcome = await callOnce({ claims, steps: claims.steps, service, clock }, { number: attempt, request: { ...request, deadline: clock.now() + 60_000 }, fault: callFault })
    outcomes.push({ attempt, outcome })
  }
  call(first, 1)
  for (let attempt = 2; attempt < 9; attempt++) {
    await clock.advance(3_000)
    call(second, attempt)
  }
  await clock.advance(400_000)
  call(second, 9)
  await clock.advance(10_000)
  return { service, outcomes, visitedPoints: observer.visitedPoints }
}

test('a request whose daemon is killed or paused at any wait runs at most once, and not_run is never false', { timeout: 120_000 }, async () => {
  const visitedPoints = new Set<ClaimPoint>()
  for (const scenario of faultScenarios) {
    for (const interruption of interruptionPoints) {
      for (const pauseMilliseconds of [7_000, 70_000, Number.MAX_SAFE_INTEGER]) {
        const { service, outcomes, visitedPoints: runPoints } = await runWithPause(scenario, interruption, pauseMilliseconds)
        for (const point of runPoints) visitedPoints.add(point)
        expect(service.runs.length, JSON.stringify({ interruption, callFault: scenario.callFault, pauseMilliseconds })).toBeLessThanOrEqual(1)
        const ranFor = service.runs.map(run => run.attempt)
        const falselyNotRun = outcomes.filter(({ attempt, outcome }) => outcome instanceof Refusal && outcome.run === RunState.NotRun && ranFor.includes(attempt))
        expect(falselyNotRun, JSON.stringify({ interruption, callFault: scenario.callFault, pauseMilliseconds })).toEqual([])
      }
    }
  }
  const unvisitedPoints = Object.values(ClaimPoint).filter(point => !visitedPoints.has(point))
  expect(unvisitedPoints).toEqual([ClaimPoint.Ask, ClaimPoint.Resolve])
})

test('every wait of the claim module names its claim point', () => {
  const folder = new URL('../src/claim/', import.meta.url)
  const files = readdirSync(folder).filter(name => !['claimPoint.ts', 'within.ts'].includes(name))
  const waits = files.flatMap(name => readFileSync(new URL(name, folder), 'utf8').split('\n').filter(line => /\bawait\b/.test(line) && !/^\s*\*/.test(line)).map(line => ({ name, line: line.trim() })))
  // A wait is either a step that names its point or a call within the module whose own waits are such steps.
  const unnamedWaits = waits.filter(({ line }) => !/await (this\.#?steps\.wait\(ClaimPoint\.|this\.#steps\.wait\(change\.point|this\.#?\w+(\.\w+)?\()/.test(line))
  expect(unnamedWaits.map(({ line }) => line)).toEqual(['await withDeadline(this.#clock, until, this.#running)'])
  expect(waits.filter(({ line }) => /await this\.#(options|clock)\b/.test(line))).toEqual([])
})
