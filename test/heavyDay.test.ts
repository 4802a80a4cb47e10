import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { ModelCascade } from '../src/placement/index.ts'

const modelNames = ['small', 'large']
const latencyTargetMilliseconds = 2_000
/** Runs that the engines execute at once; others wait in order of arrival. */
const maximumConcurrentRuns = 40
const smallModelMilliseconds = 150
const largeModelMilliseconds = 1_500
/** Time from the start of a run to its first event. */
const firstEventDelayMilliseconds = 100
const stepMilliseconds = 10

/** Decides whether an answer is accepted, and learns how long the largest model's first events take. */
interface AnswerPolicy {
  accepts (confidence: number, now: number): boolean
  trackLargestModelWait (now: number): (hasBegun: boolean, at: number) => void
}

interface Run {
  readonly isLarge: boolean
  readonly confidence: number
  readonly arrivedAt: number
  readonly endWait: (hasBegun: boolean, at: number) => void
  endsAt: number
}

/** The outcome for the clients. */
interface SimulationResult {
  requests: number
  /** Good answers whose first event came within the latency target. */
  goodAnswersInTime: number
  answersInTime: number
}

/** Simulates clients of engines with a queue, under an arrival rate that depends on the time in seconds. */
function simulate (policy: AnswerPolicy, seed: number, durationSeconds: number, requestsPerSecond: (second: number) => number): SimulationResult {
  const randomness = new SeededRandomness(seed)
  const result: SimulationResult = { requests: 0, goodAnswersInTime: 0, answersInTime: 0 }
  const waiting: Run[] = []
  const running = new Set<Run>()
  const enqueue = (isLarge: boolean, confidence: number, arrivedAt: number, now: number) => {
    const endWait = isLarge ? policy.trackLargestModelWait(now) : () => undefined
    waiting.push({ isLarge, confidence, arrivedAt, endWait, endsAt: 0 })
  }
  const deliver = (run: Run, firstEventAt: number) => {
    const isInTime = firstEventAt - run.arrivedAt <= latencyTargetMilliseconds
    // The confidence is the probability in per cent that the small model's answer is good; the large model's always is.
    const isGood = run.isLarge || randomness.fraction() * 100 < run.confidence
    if (isInTime) result.answersInTime++
    if (isInTime && isGood) result.goodAnswersInTime++
  }
  for (let now = 0; now < durationSeconds * 1_000 || running.size + waiting.length > 0; now += stepMilliseconds) {
    const hasArrivals = now < durationSeconds * 1_000
    if (hasArrivals && randomness.fraction() < requestsPerSecond(now / 1_000) * stepMilliseconds / 1_000) {
      result.requests++
      enqueue(false, 100 * randomness.fraction(), now, now)
    }
    for (const run of running) {
      if (run.endsAt > now) continue
      running.delete(run)
      if (!run.isLarge && !policy.accepts(run.confidence, now)) enqueue(true, run.confidence, run.arrivedAt, now)
      else if (!run.isLarge) deliver(run, now)
    }
    while (running.size < maximumConcurrentRuns && waiting.length > 0) {
      const run = waiting.shift()!
      run.endsAt = now + (run.isLarge ? largeModelMilliseconds : smallModelMilliseconds)
      running.add(run)
      if (!run.isLarge) continue
      run.endWait(true, now + firstEventDelayMilliseconds)
      deliver(run, now + firstEventDelayMilliseconds)
    }
  }
  return result
}

function adaptivePolicy (): AnswerPolicy {
  const cascade = new ModelCascade()
  expect(cascade.plan(modelNames, { attemptsLeft: 3, latencyTargetShareLeft: 1, mayRetry: true })).toEqual({ first: 'small', larger: 'large' })
  return {
    accepts: (confidence, now) => cascade.accepts(confidence, now),
    trackLargestModelWait: now => cascade.trackLargestModelWait(now, latencyTargetMilliseconds)
  }
}

const fixedThresholdPolicy = (threshold: number): AnswerPolicy => ({ accepts: answerConfidence => answerConfidence >= threshold, trackLargestModelWait: () => () => undefined })

const steadyRate = () => 25
/** Four seconds of three times the load that the engines sustain at the usual confidence threshold. */
const burstRate = (second: number) => second >= 6 && second < 10 ? 95 : 25

test('in a burst an adaptive confidence threshold gives clients more good answers in time than a fixed one', () => {
  for (const seed of [1, 2, 3]) {
    const [adaptive, fixedThreshold] = [simulate(adaptivePolicy(), seed, 20, burstRate), simulate(fixedThresholdPolicy(52), seed, 20, burstRate)]
    expect(adaptive.goodAnswersInTime).toBeGreaterThan(1.1 * fixedThreshold.goodAnswersInTime)
    expect(adaptive.answersInTime / adaptive.requests).toBeGreaterThan(0.9)
  }
})

test('under steady load an adaptive confidence threshold gives as many good answers as a fixed one', () => {
  for (const seed of [1, 2, 3]) {
    const [adaptive, fixedThreshold] = [simulate(adaptivePolicy(), seed, 20, steadyRate), simulate(fixedThresholdPolicy(52), seed, 20, steadyRate)]
    expect(adaptive.goodAnswersInTime).toBeGreaterThan(0.97 * fixedThreshold.goodAnswersInTime)
  }
})

test('the confidence threshold rises again after a burst', () => {
  const cascade = new ModelCascade()
  for (let index = 0; index < 100; index++) cascade.trackLargestModelWait(0, latencyTargetMilliseconds)(true, latencyTargetMilliseconds)
  expect(cascade.confidenceThreshold(latencyTargetMilliseconds)).toBeLessThan(10)
  for (let index = 0; index < 100; index++) cascade.trackLargestModelWait(0, latencyTargetMilliseconds)(true, firstEventDelayMilliseconds)
  expect(cascade.confidenceThreshold(latencyTargetMilliseconds)).toBeGreaterThan(50)
})
