import { readdirSync, readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { ClaimPoint, parseClaimRow, claimTableName, ClaimState, claimKeyOf, TableClaims, type Claim, type ClaimObserver, type ClaimRequest } from '../src/claim/index.ts'
import { Refusal, RefusalCode, RunState, SeededRandomness } from '../src/contract/index.ts'
import { answerFor, callOnce, CallFault, RecordingService } from '../trial/prove/claimCaller.ts'
import { FaultyTableService, TableFault, type TableCall } from './fakes/faultyTableService.ts'
import { ManualClock } from './fakes/manualClock.ts'

function world (observer?: ClaimObserver) {
  const clock = new ManualClock()
  const table = new FaultyTableService(clock)
  const service = new RecordingService(clock)
  const daemon = (name: string, watched?: ClaimObserver) => new TableClaims({ table, clock, randomness: new SeededRandomness(name.length), holder: name, ...(watched === undefined ? {} : { observer: watched }) })
  return { clock, table, service, first: daemon('entry-1', observer), second: daemon('entry-22') }
}

function requestAt (clock: ManualClock, change: Partial<ClaimRequest> = {}): ClaimRequest {
  return { organisation: 'harbour', idempotencyKey: 'refund-17', requestHash: 'a', deadline: clock.now() + 60_000, ...change }
}

async function open (claims: TableClaims, request: ClaimRequest) {
  return (await claims.open(request)).unwrap()
}

async function claimOf (claims: TableClaims, request: ClaimRequest): Promise<Claim> {
  const opening = await open(claims, request)
  if (opening.kind !== 'mine') throw new Error(`found ${opening.kind}`)
  return opening.claim
}

async function rowOf (table: FaultyTableService, request: ClaimRequest) {
  const read = (await table.memory.read(claimTableName, claimKeyOf(request))).unwrap()
  return parseClaimRow(read?.value)
}

function isWriteOf (state: ClaimState): (call: TableCall) => boolean {
  return call => call.kind === 'transact' && call.transaction.writes.some(write => parseClaimRow(write.value)?.state === state)
}

/** Gives the first call that fits a fault, and none to the others. */
function once (fits: (call: TableCall) => boolean, fault: TableFault) {
  let done = false
  return (call: TableCall) => {
    if (done || !fits(call)) return { fault: TableFault.None }
    done = true
    return { fault }
  }
}

function refusalOf (result: { readonly val: unknown }): Refusal {
  expect(result.val).toBeInstanceOf(Refusal)
  return result.val as Refusal
}

test('a repeat after the answer is given the same answer at another daemon', async () => {
  const { clock, first, second } = world()
  const claim = await claimOf(first, requestAt(clock))
  await claim.dispatch()
  await claim.settle(answerFor('refund-17'))
  expect(await open(second, requestAt(clock))).toEqual({ kind: 'answer', answer: answerFor('refund-17') })
})

test('of the same key at two daemons at once one claims it and the other is told that it runs', async () => {
  const { clock, first, second } = world()
  const openings = await Promise.all([open(first, requestAt(clock)), open(second, requestAt(clock))])
  expect(openings.map(opening => opening.kind).sort()).toEqual(['mine', 'running'])
})

test('the same key with another body is refused, also after the answer', async () => {
  const { clock, first, second } = world()
  const claim = await claimOf(first, requestAt(clock))
  expect(await open(second, requestAt(clock, { requestHash: 'b' }))).toEqual({ kind: 'mismatch' })
  await claim.dispatch()
  await claim.settle(answerFor('refund-17'))
  expect(await open(second, requestAt(clock, { requestHash: 'b' }))).toEqual({ kind: 'mismatch' })
})

test('a holder that was paused past its time can not dispatch after another took its place', async () => {
  const { clock, first, second } = world()
  const paused = await claimOf(first, requestAt(clock))
  await clock.advance(4_999)
  expect((await open(second, requestAt(clock))).kind).toBe('running')
  await clock.advance(1)
  const taken = await claimOf(second, requestAt(clock))
  expect(refusalOf(await paused.dispatch()).run).toBe(RunState.NotRun)
  expect((await taken.dispatch()).ok).toBe(true)
})

test('a dispatch that was under way when the claim was voided does not send', async () => {
  const { clock, table, first, second } = world()
  const paused = await claimOf(first, requestAt(clock))
  table.script = once(isWriteOf(ClaimState.Dispatching), TableFault.None)
  table.script = call => isWriteOf(ClaimState.Dispatching)(call) ? { fault: TableFault.None, before: 1_400 } : { fault: TableFault.None }
  await clock.advance(4_000)
  const dispatching = paused.dispatch()
  await clock.advance(1_000)
  await claimOf(second, requestAt(clock))
  await clock.advance(1_000)
  const refusal = refusalOf(await dispatching)
  expect([refusal.code, refusal.run]).toEqual([RefusalCode.RequestStillRunning, RunState.NotRun])
})

test('a dispatching claim is never taken over, however old', async () => {
  const { clock, first, second } = world()
  const claim = await claimOf(first, requestAt(clock))
  await claim.dispatch()
  await clock.advance(3_600_000)
  expect((await open(second, requestAt(clock))).kind).toBe('unknown')
  expect((await claim.settle(answerFor('refund-17'))).ok).toBe(true)
  expect((await open(second, requestAt(clock))).kind).toBe('answer')
})

test('a claim whose reply was lost is read back, not written twice', async () => {
  const { clock, table, first } = world()
  table.script = once(isWriteOf(ClaimState.Prepared), TableFault.ReplyLost)
  const claim = await claimOf(first, requestAt(clock))
  expect((await rowOf(table, requestAt(clock)))?.nonce).toBe(claim.nonce)
  expect((await claim.dispatch()).ok).toBe(true)
})

test('a dispatch whose reply was lost is read back and may send', async () => {
  const { clock, table, first } = world()
  const claim = await claimOf(first, requestAt(clock))
  table.script = once(isWriteOf(ClaimState.Dispatching), TableFault.ReplyLost)
  expect((await claim.dispatch()).ok).toBe(true)
})

test('with the store down a request is refused at once as not run', async () => {
  const { clock, table, first } = world()
  table.script = () => ({ fault: TableFault.Down })
  const refusal = refusalOf(await first.open(requestAt(clock)))
  expect([refusal.code, refusal.run]).toEqual([RefusalCode.StoreUnavailable, RunState.NotRun])
  expect(refusal.retryAfterSeconds).toBeGreaterThan(0)
})

test('with a store that never replies a request is refused as not run within its patience', async () => {
  const { clock, table, first } = world()
  table.script = () => ({ fault: TableFault.None, before: 3_600_000 })
  const opening = first.open(requestAt(clock))
  await clock.advance(1_600)
  expect(refusalOf(await opening).run).toBe(RunState.NotRun)
})

test('a claim that can not be told is dropped, and its row is released when the store is back', async () => {
  const { clock, table, first, second } = world()
  table.script = call => ({ fault: call.kind === 'transact' ? TableFault.ReplyLost : TableFault.Down })
  const opening = first.open(requestAt(clock))
  await clock.advance(2_000)
  expect(refusalOf(await opening).run).toBe(RunState.NotRun)
  table.script = () => ({ fault: TableFault.None })
  await clock.advance(2_000)
  expect(first.queuedChanges).toBe(0)
  expect((await open(second, requestAt(clock))).kind).toBe('mine')
})

test('a dispatch that can not be told is not sent, and its row is freed when the store is back', async () => {
  const { clock, table, first, second } = world()
  const claim = await claimOf(first, requestAt(clock))
  table.script = call => ({ fault: call.kind === 'transact' ? TableFault.ReplyLost : TableFault.Down })
  const dispatching = claim.dispatch()
  await clock.advance(2_000)
  expect(refusalOf(await dispatching).run).toBe(RunState.NotRun)
  expect((await rowOf(table, requestAt(clock)))?.state).toBe(ClaimState.Dispatching)
  table.script = () => ({ fault: TableFault.None })
  await clock.advance(3_000)
  expect((await open(second, requestAt(clock))).kind).toBe('mine')
})

test('an answer whose recording gave no reply is recorded when the store is back', async () => {
  const { clock, table, first, second } = world()
  const claim = await claimOf(first, requestAt(clock))
  await claim.dispatch()
  table.script = () => ({ fault: TableFault.Down })
  expect(refusalOf(await claim.settle(answerFor('refund-17'))).run).toBe(RunState.Ran)
  await clock.advance(60_000)
  table.script = () => ({ fault: TableFault.None })
  await clock.advance(10_000)
  expect((await open(second, requestAt(clock))).kind).toBe('answer')
})

test('a holder that wakes after the time in which it may send gives the key back', async () => {
  const { clock, table, first, second } = world()
  const claim = await claimOf(first, requestAt(clock, { deadline: clock.now() + 1_000 }))
  table.script = call => isWriteOf(ClaimState.Dispatching)(call) ? { fault: TableFault.None, after: 1_200 } : { fault: TableFault.None }
  const dispatching = claim.dispatch()
  await clock.advance(2_000)
  expect(refusalOf(await dispatching).run).toBe(RunState.NotRun)
  expect((await open(second, requestAt(clock))).kind).toBe('mine')
})

test('an unknown outcome is settled by the answer that the service still has', async () => {
  const { clock, first, second } = world()
  const claim = await claimOf(first, requestAt(clock))
  await claim.dispatch()
  await claim.markUnknown()
  expect((await second.resolve(requestAt(clock), async () => undefined)).unwrap().kind).toBe('unknown')
  expect((await second.resolve(requestAt(clock), async () => answerFor('refund-17'))).unwrap().kind).toBe('answer')
  expect((await open(first, requestAt(clock))).kind).toBe('answer')
})

test('a service that has not run a request frees its key only when nothing can be under way', async () => {
  const { clock, first, second } = world()
  const claim = await claimOf(first, requestAt(clock))
  await claim.dispatch()
  await claim.markUnknown()
  expect((await second.resolve(requestAt(clock), async () => 'not_run')).unwrap().kind).toBe('unknown')
  await clock.advance(60_000 + 600_000)
  expect((await second.resolve(requestAt(clock), async () => 'not_run')).unwrap().kind).toBe('mine')
})

test('a request that was never sent frees its key at once', async () => {
  const { clock, first, second } = world()
  const claim = await claimOf(first, requestAt(clock))
  await claim.dispatch()
  await claim.release()
  expect((await open(second, requestAt(clock))).kind).toBe('mine')
})

const killPoints = Object.values(ClaimPoint).flatMap(point => ['before', 'after'].map(moment => ({ point, moment })))

/** Faults that lead a request past each point. */
const roads: readonly { readonly fate: CallFault, readonly script: () => (call: TableCall) => { fault: TableFault } }[] = [
  { fate: CallFault.None, script: () => () => ({ fault: TableFault.None }) },
  { fate: CallFault.None, script: () => once(isWriteOf(ClaimState.Prepared), TableFault.ReplyLost) },
  { fate: CallFault.None, script: () => once(isWriteOf(ClaimState.Dispatching), TableFault.RequestLost) },
  { fate: CallFault.None, script: () => once(isWriteOf(ClaimState.Done), TableFault.Down) },
  { fate: CallFault.NeverSent, script: () => () => ({ fault: TableFault.None }) },
  { fate: CallFault.ReplyLost, script: () => () => ({ fault: TableFault.None }) },
  { fate: CallFault.ArrivesLate, script: () => () => ({ fault: TableFault.None }) }
]

class StoppingObserver implements ClaimObserver {
  readonly seen = new Set<ClaimPoint>()
  readonly #hold: (point: ClaimPoint, moment: string) => Promise<void>

  constructor (hold: (point: ClaimPoint, moment: string) => Promise<void>) {
    this.#hold = hold
  }

  before (point: ClaimPoint): Promise<void> {
    this.seen.add(point)
    return this.#hold(point, 'before')
  }

  after (point: ClaimPoint): Promise<void> {
    return this.#hold(point, 'after')
  }
}

/** A request whose daemon is held at one place, repeats at another daemon, and what the service ran. */
async function runHeldAt (road: typeof roads[number], place: { point: ClaimPoint, moment: string }, heldMilliseconds: number) {
  const clockBox: { clock?: ManualClock } = {}
  let held = false
  const observer = new StoppingObserver(async (point, moment) => {
    if (held || point !== place.point || moment !== place.moment) return
    held = true
    await clockBox.clock?.sleep(heldMilliseconds)
  })
  const { clock, table, service, first, second } = world(observer)
  clockBox.clock = clock
  table.script = road.script()
  const request = requestAt(clock)
  const outcomes: { attempt: number, outcome: unknown }[] = []
  const call = async (claims: TableClaims, attempt: number) => {
    const fate = attempt === 1 ? road.fate : CallFault.None
    const outcome = await callOnce({ claims, steps: claims.steps, service, clock }, { number: attempt, request: { ...request, deadline: clock.now() + 60_000 }, fault: fate })
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
  return { service, outcomes, seen: observer.seen }
}

test('killed or paused at any wait, a request runs at most once and not_run is true', { timeout: 120_000 }, async () => {
  const visited = new Set<ClaimPoint>()
  for (const road of roads) {
    for (const place of killPoints) {
      for (const heldMilliseconds of [7_000, 70_000, Number.MAX_SAFE_INTEGER]) {
        const { service, outcomes, seen } = await runHeldAt(road, place, heldMilliseconds)
        for (const point of seen) visited.add(point)
        expect(service.runs.length, JSON.stringify({ place, road: road.fate, heldMilliseconds })).toBeLessThanOrEqual(1)
        const ranFor = service.runs.map(run => run.attempt)
        const falselyNotRun = outcomes.filter(({ attempt, outcome }) => outcome instanceof Refusal && outcome.run === RunState.NotRun && ranFor.includes(attempt))
        expect(falselyNotRun, JSON.stringify({ place, road: road.fate, heldMilliseconds })).toEqual([])
      }
    }
  }
  const unvisited = Object.values(ClaimPoint).filter(point => !visited.has(point))
  expect(unvisited).toEqual([ClaimPoint.Ask, ClaimPoint.Resolve])
})

test('every wait of the claim module names its point', () => {
  const folder = new URL('../src/claim/', import.meta.url)
  const files = readdirSync(folder).filter(name => !['claimPoint.ts', 'within.ts'].includes(name))
  const waits = files.flatMap(name => readFileSync(new URL(name, folder), 'utf8').split('\n').filter(line => /\bawait\b/.test(line) && !/^\s*\*/.test(line)).map(line => ({ name, line: line.trim() })))
  // A wait is either a step with its point or a call within the module whose own waits are steps.
  const stray = waits.filter(({ line }) => !/await (this\.#?steps\.wait\(ClaimPoint\.|this\.#steps\.wait\(change\.point|this\.#?\w+(\.\w+)?\()/.test(line))
  expect(stray.map(({ line }) => line)).toEqual(['await Promise.race([running, this.#clock.sleep(until - this.#clock.now(), over.signal)])'])
  expect(waits.filter(({ line }) => /await this\.#(options|clock)\b/.test(line))).toEqual([])
})
