import fc from 'fast-check'
import { expect, test } from 'vitest'
import { ClaimPoint, type ClaimObserver, TableClaims } from '../src/claim/index.ts'
import { Refusal, RunState, SeededRandomness } from '../src/contract/index.ts'
import { answerFor, callOnce, CallFault, type CallerOutcome, RecordingService } from '../trial/prove/claimCaller.ts'
import { FaultyTableService, TableFault } from './fakes/faultyTableService.ts'
import { ManualClock } from './fakes/manualClock.ts'

const key = 'refund-17'

/** One attempt: its delay, its daemon, the fault of its call, and the claim point and duration of its pause. */
const attemptArbitrary = fc.record({
  delayMilliseconds: fc.integer({ min: 0, max: 8_000 }),
  daemon: fc.integer({ min: 0, max: 1 }),
  callFault: fc.constantFrom(...Object.values(CallFault)),
  point: fc.constantFrom(...Object.values(ClaimPoint)),
  moment: fc.constantFrom('before', 'after'),
  pauseMilliseconds: fc.constantFrom(0, 0, 1_000, 6_000, 70_000, Number.MAX_SAFE_INTEGER)
})
type Attempt = typeof attemptArbitrary extends fc.Arbitrary<infer Value> ? Value : never

const tableFaultArbitrary = fc.record({ fault: fc.constantFrom(...Object.values(TableFault)), requestDelayMilliseconds: fc.constantFrom(0, 5, 1_600, 20_000), replyDelayMilliseconds: fc.constantFrom(0, 5, 1_600) })

/** Pauses its daemon once, at one claim point. A pause of `Number.MAX_SAFE_INTEGER` milliseconds stands for a kill. */
class PausingObserver implements ClaimObserver {
  readonly #clock: ManualClock
  readonly #attempt: Attempt
  #hasPaused = false

  constructor (clock: ManualClock, attempt: Attempt) {
    this.#clock = clock
    this.#attempt = attempt
  }

  before (point: ClaimPoint): Promise<void> {
    return this.#pause(point, 'before')
  }

  after (point: ClaimPoint): Promise<void> {
    return this.#pause(point, 'after')
  }

  async #pause (point: ClaimPoint, moment: string): Promise<void> {
    if (this.#hasPaused || point !== this.#attempt.point || moment !== this.#attempt.moment || this.#attempt.pauseMilliseconds === 0) return
    this.#hasPaused = true
    await this.#clock.sleep(this.#attempt.pauseMilliseconds)
  }
}

test('under any store faults, kills, pauses and repeats a key runs at most once and not_run is never false', { timeout: 120_000 }, async () => {
  await fc.assert(fc.asyncProperty(fc.array(attemptArbitrary, { minLength: 1, maxLength: 5 }), fc.array(tableFaultArbitrary, { maxLength: 12 }), async (attempts, tableFaults) => {
    const clock = new ManualClock()
    const table = new FaultyTableService(clock)
    const service = new RecordingService(clock)
    const remainingFaults = [...tableFaults]
    table.script = () => remainingFaults.shift() ?? { fault: TableFault.None }
    const outcomes: { readonly attempt: number, readonly outcome: CallerOutcome }[] = []
    for (const [number, attempt] of attempts.entries()) {
      const claims = new TableClaims({ table, clock, randomness: new SeededRandomness(number + 1), holder: `entry-${attempt.daemon}`, observer: new PausingObserver(clock, attempt) })
      const request = { organisation: 'harbour', idempotencyKey: key, requestHash: 'a', deadline: clock.now() + 30_000 }
      callOnce({ claims, steps: claims.steps, service, clock }, { number, request, fault: attempt.callFault }).then(outcome => outcomes.push({ attempt: number, outcome }))
      await clock.advance(attempt.delayMilliseconds)
    }
    await clock.advance(200_000)
    expect(service.runs.length).toBeLessThanOrEqual(1)
    const attemptsThatRan = new Set(service.runs.map(run => run.attempt))
    for (const { attempt, outcome } of outcomes) {
      if (outcome instanceof Refusal) expect(outcome.run === RunState.NotRun && attemptsThatRan.has(attempt)).toBe(false)
      else expect(outcome).toEqual(answerFor(key))
    }
  }), { seed: 23, numRuns: 300 })
})
