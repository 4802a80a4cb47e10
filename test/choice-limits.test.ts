import { expect, test } from 'vitest'
import fc from 'fast-check'
import { Priority, type Refusal, RefusalCode, RunState } from '../src/contract/index.ts'
import { fairAllowances, RatioAttemptBudget, ShareAdmissionPolicy } from '../src/choice/index.ts'

/** All places taken, and two seconds' wait for one. */
const pressed = 2

function ask (policy: ShareAdmissionPolicy, organisation: string, share: number, now: number, pressure = pressed, priority: Priority = Priority.Normal) {
  return policy.admit({ organisation, share, totalShares: 10, priority, work: 1 }, pressure, now)
}

/** Lets organisations ask at fixed rates for a time; counts what each was let in over the second half. */
function run (rates: Record<string, { share: number, perSecond: number }>, capacityPerSecond: number, seconds: number) {
  const policy = new ShareAdmissionPolicy()
  const admitted: Record<string, number> = {}
  let recent = 0
  for (let tick = 0; tick < seconds * 100; tick++) {
    const now = tick * 10
    recent *= 0.99
    for (const [organisation, { share, perSecond }] of Object.entries(rates)) {
      const due = Math.floor((tick + 1) * perSecond / 100) - Math.floor(tick * perSecond / 100)
      for (let index = 0; index < due; index++) {
        if (!ask(policy, organisation, share, now, recent / capacityPerSecond).ok) continue
        recent++
        if (tick >= seconds * 50) admitted[organisation] = (admitted[organisation] ?? 0) + 1
      }
    }
  }
  return { admitted, perSecond: (name: string) => (admitted[name] ?? 0) / (seconds / 2) }
}

test('an organisation inside its share is let in while one that asks for ten times its share is refused', () => {
  const { perSecond } = run({ large: { share: 5, perSecond: 250 }, small: { share: 1, perSecond: 4 } }, 50, 40)
  expect(perSecond('small')).toBeGreaterThan(3.9)
  // The admission steers to a pressure of 1.5, here 75 a second for both.
  expect(perSecond('large') + perSecond('small')).toBeLessThan(78)
})

test('a share that its organisation leaves unused is lent to the others', () => {
  const { perSecond } = run({ asking: { share: 1, perSecond: 200 }, idle: { share: 9, perSecond: 1 } }, 100, 40)
  expect(perSecond('asking')).toBeGreaterThan(70)
  expect(perSecond('idle')).toBeGreaterThan(0.9)
})

test('organisations that all ask for too much are let in by their shares', () => {
  const { perSecond } = run({ two: { share: 2, perSecond: 80 }, one: { share: 1, perSecond: 80 } }, 40, 60)
  expect(perSecond('two') / perSecond('one')).toBeGreaterThan(1.7)
  expect(perSecond('two') / perSecond('one')).toBeLessThan(2.3)
})

test('nobody is refused while the engines have room', () => {
  const policy = new ShareAdmissionPolicy()
  for (let now = 0; now < 10_000; now += 10) expect(ask(policy, 'large', 1, now, 0.4).ok).toBe(true)
})

test('a refusal says that nothing ran and when to come back', () => {
  const policy = new ShareAdmissionPolicy()
  let refusal: Refusal | undefined
  for (let now = 0; now < 20_000 && refusal === undefined; now++) {
    const outcome = ask(policy, 'large', 1, now)
    if (!outcome.ok) refusal = outcome.val as Refusal
  }
  expect(refusal?.code).toBe(RefusalCode.ShareExceeded)
  expect(refusal?.run).toBe(RunState.NotRun)
  expect(refusal?.retryAfterSeconds).toBeGreaterThanOrEqual(1)
})

test('the division of an amount gives nobody less than its share or what it wants, and no more than the amount in all', () => {
  const claimants = fc.array(fc.record({ share: fc.integer({ min: 1, max: 50 }), demand: fc.integer({ min: 0, max: 1_000 }) }), { minLength: 1, maxLength: 30 })
  fc.assert(fc.property(claimants, fc.integer({ min: 1, max: 5_000 }), (all, amount) => {
    const allowances = fairAllowances(all, amount)
    const shares = all.reduce((sum, one) => sum + one.share, 0)
    const used = all.map((one, index) => Math.min(one.demand, allowances[index]!))
    const total = used.reduce((sum, one) => sum + one, 0)
    expect(total).toBeLessThanOrEqual(amount * (1 + 1e-9))
    all.forEach((one, index) => expect(used[index]).toBeGreaterThanOrEqual(Math.min(one.demand, amount * one.share / shares) - 1e-6))
    const totalDemand = all.reduce((sum, one) => sum + one.demand, 0)
    expect(total).toBeGreaterThanOrEqual(Math.min(totalDemand, amount) - 1e-6)
  }), { seed: 11, numRuns: 300 })
})

test('in an outage extra attempts stay a tenth of the first attempts', () => {
  const budget = new RatioAttemptBudget()
  let extra = 0
  for (let index = 0; index < 10_000; index++) {
    const now = index * 2
    budget.recordFirstAttempt(now)
    while (budget.tryAcquire(now)) extra++
  }
  expect(extra).toBeLessThanOrEqual(1_000 + 20 * 0.2 + 10)
  expect(extra).toBeGreaterThan(950)
})

test('a daemon with little traffic may still retry now and then', () => {
  const budget = new RatioAttemptBudget()
  expect(budget.tryAcquire(0)).toBe(true)
  expect(budget.tryAcquire(1)).toBe(false)
  expect(budget.tryAcquire(10_000)).toBe(true)
})
