import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { ModelCascade } from '../src/placement/index.ts'

const sizes = ['small', 'large']
const objectiveMilliseconds = 2_000
/** Runs that the engines take at once; others wait in the order of their arrival. */
const places = 40
const smallMilliseconds = 150
const largeMilliseconds = 1_500
/** From a run's begin to its first event. */
const firstEventMilliseconds = 100
const stepMilliseconds = 10

/** Whether answers are let through, and how a daemon learns of late ones. */
interface Policy {
  accepts (confidence: number, now: number): boolean
  waitForLargest (now: number): (hasBegun: boolean, at: number) => void
}

interface Run {
  readonly isLarge: boolean
  readonly confidence: number
  readonly arrivedAt: number
  readonly endWait: (hasBegun: boolean, at: number) => void
  endsAt: number
}

/** What callers got. */
interface Served {
  requests: number
  /** Good answers whose first event came within the objective. */
  goodInTime: number
  inTime: number
}

/** Plays callers before engines that have a queue; `rate` gives requests a second by time. */
function play (policy: Policy, seed: number, seconds: number, rate: (second: number) => number): Served {
  const randomness = new SeededRandomness(seed)
  const served: Served = { requests: 0, goodInTime: 0, inTime: 0 }
  const waiting: Run[] = []
  const running = new Set<Run>()
  const queue = (isLarge: boolean, confidence: number, arrivedAt: number, now: number) => {
    const endWait = isLarge ? policy.waitForLargest(now) : () => undefined
    waiting.push({ isLarge, confidence, arrivedAt, endWait, endsAt: 0 })
  }
  const deliver = (run: Run, firstEventAt: number) => {
    const isInTime = firstEventAt - run.arrivedAt <= objectiveMilliseconds
    // An answer is as probably good as the model's confidence says; the large model's surely is.
    const isGood = run.isLarge || randomness.fraction() * 100 < run.confidence
    if (isInTime) served.inTime++
    if (isInTime && isGood) served.goodInTime++
  }
  for (let now = 0; now < seconds * 1_000 || running.size + waiting.length > 0; now += stepMilliseconds) {
    const isOpen = now < seconds * 1_000
    if (isOpen && randomness.fraction() < rate(now / 1_000) * stepMilliseconds / 1_000) {
      served.requests++
      queue(false, 100 * randomness.fraction(), now, now)
    }
    for (const run of running) {
      if (run.endsAt > now) continue
      running.delete(run)
      if (!run.isLarge && !policy.accepts(run.confidence, now)) queue(true, run.confidence, run.arrivedAt, now)
      else if (!run.isLarge) deliver(run, now)
    }
    while (running.size < places && waiting.length > 0) {
      const run = waiting.shift()!
      run.endsAt = now + (run.isLarge ? largeMilliseconds : smallMilliseconds)
      running.add(run)
      if (!run.isLarge) continue
      run.endWait(true, now + firstEventMilliseconds)
      deliver(run, now + firstEventMilliseconds)
    }
  }
  return served
}

function learning (): Policy {
  const choice = new ModelCascade()
  expect(choice.plan(sizes, { attemptsLeft: 3, latencyTargetShareLeft: 1, mayRetry: true })).toEqual({ first: 'small', larger: 'large' })
  return {
    accepts: (confidence, now) => choice.accepts(confidence, now),
    waitForLargest: now => choice.trackLargestModelWait(now, objectiveMilliseconds)
  }
}

const fixed = (confidence: number): Policy => ({ accepts: own => own >= confidence, waitForLargest: () => () => undefined })

const calm = () => 25
/** Four seconds of three times what the engines carry at the usual confidence. */
const burst = (second: number) => second >= 6 && second < 10 ? 95 : 25

test('in a burst callers get more good answers in time when answers that are probably good are let through', () => {
  for (const seed of [1, 2, 3]) {
    const [falling, usual] = [play(learning(), seed, 20, burst), play(fixed(52), seed, 20, burst)]
    expect(falling.goodInTime).toBeGreaterThan(1.1 * usual.goodInTime)
    expect(falling.inTime / falling.requests).toBeGreaterThan(0.9)
  }
})

test('on a calm day callers get as many good answers as from a confidence that never falls', () => {
  for (const seed of [1, 2, 3]) {
    const [falling, usual] = [play(learning(), seed, 20, calm), play(fixed(52), seed, 20, calm)]
    expect(falling.goodInTime).toBeGreaterThan(0.97 * usual.goodInTime)
  }
})

test('after a burst the confidence rises again', () => {
  const choice = new ModelCascade()
  for (let index = 0; index < 100; index++) choice.trackLargestModelWait(0, objectiveMilliseconds)(true, objectiveMilliseconds)
  expect(choice.confidenceThreshold(objectiveMilliseconds)).toBeLessThan(10)
  for (let index = 0; index < 100; index++) choice.trackLargestModelWait(0, objectiveMilliseconds)(true, firstEventMilliseconds)
  expect(choice.confidenceThreshold(objectiveMilliseconds)).toBeGreaterThan(50)
})
