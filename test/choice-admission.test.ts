import { expect, test } from 'vitest'
import fc from 'fast-check'
import { Priority, type Refusal, RefusalCode, RunState } from '../src/contract/index.ts'
import { fairAllowances, RatioAttemptBudget, ShareAdmissionPolicy } from '../src/choice/index.ts'

/** All slots are taken, and the wait for one is 2 s. */
const highPressure = 2

function admit (policy: ShareAdmissionPolicy, organisation: string, share: number, now: number, pressure = highPressure, priority: Priority = Priority.Normal) {
  return policy.admit({ organisation, share, totalShares: 10, priority, work: 1 }, pressure, now)
}

/** Simulates requests at fixed rates per organisation and counts the admitted ones over the second half. */
function simulate (rates: Record<string, { share: number, perSecond: number }>, capacityPerSecond: number, seconds: number) {
  const policy = new ShareAdmissionPolicy()
  const admitted: Record<string, number> = {}
  let recentlyAdmitted = 0
  for (let tick = 0; tick < seconds * 100; tick++) {
    const now = tick * 10
    recentlyAdmitted *= 0.99
    for (const [organisation, { share, perSecond }] of Object.entries(rates)) {
      const arrivals = Math.floor((tick + 1) * perSecond / 100) - Math.floor(tick * perSecond / 100)
      for (let index = 0; index < arrivals; index++) {
        if (!admit(policy, organisation, share, now, recentlyAdmitted / capacityPerSecond).ok) continue
        recentlyAdmitted++
        if (tick >= seconds * 50) admitted[organisation] = (admitted[organisation] ?? 0) + 1
      }
    }
  }
  return { admitted, perSecond: (name: string) => (admitted[name] ?? 0) / (seconds / 2) }
}

test('an organisation within its share is admitted while one that requests ten times its share is limited', () => {
  const { perSecond } = simulate({ large: { share: 5, perSecond: 250 }, small: { share: 1, perSecond: 4 } }, 50, 40)
  expect(perSecond('small')).toBeGreaterThan(3.9)
  // The admission controller targets a pressure of 1.5, here 75 requests per second in total.
  expect(perSecond('large') + perSecond('small')).toBeLessThan(78)
})

test('the unused share of an organisation is lent to the others', () => {
  const { perSecond } = simulate({ asking: { share: 1, perSecond: 200 }, idle: { share: 9, perSecond: 1 } }, 100, 40)
  expect(perSecond('asking')).toBeGreaterThan(70)
  expect(perSecond('idle')).toBeGreaterThan(0.9)
})

test('organisations that all exceed their shares are admitted in proportion to them', () => {
  const { perSecond } = simulate({ two: { share: 2, perSecond: 80 }, one: { share: 1, perSecond: 80 } }, 40, 60)
  expect(perSecond('two') / perSecond('one')).toBeGreaterThan(1.7)
  expect(perSecond('two') / perSecond('one')).toBeLessThan(2.3)
})

test('no request is refused while the engines have free capacity', () => {
  const policy = new ShareAdmissionPolicy()
  for (let now = 0; now < 10_000; now += 10) expect(admit(policy, 'large', 1, now, 0.4).ok).toBe(true)
})

test('a refusal reports that nothing ran and when to retry', () => {
  const policy = new ShareAdmissionPolicy()
  let refusal: Refusal | undefined
  for (let now = 0; now < 20_000 && refusal === undefined; now++) {
    const outcome = admit(policy, 'large', 1, now)
    if (!outcome.ok) refusal = outcome.val as Refusal
  }
  expect(refusal?.code).toBe(RefusalCode.ShareExceeded)
  expect(refusal?.run).toBe(RunState.NotRun)
  expect(refusal?.retryAfterSeconds).toBeGreaterThanOrEqual(1)
})

test('max-min fair allowances give each claimant at least the smaller of its share and its demand, and never exceed the amount', () => {
  const claimantsArbitrary = fc.array(fc.record({ share: fc.integer({ min: 1, max: 50 }), demand: fc.integer({ min: 0, max: 1_000 }) }), { minLength: 1, maxLength: 30 })
  fc.assert(fc.property(claimantsArbitrary, fc.integer({ min: 1, max: 5_000 }), (claimants, amount) => {
    const allowances = fairAllowances(claimants, amount)
    const shares = claimants.reduce((sum, claimant) => sum + claimant.share, 0)
    const allocations = claimants.map((claimant, index) => Math.min(claimant.demand, allowances[index]!))
    const total = allocations.reduce((sum, claimant) => sum + claimant, 0)
    expect(total).toBeLessThanOrEqual(amount * (1 + 1e-9))
    claimants.forEach((claimant, index) => expect(allocations[index]).toBeGreaterThanOrEqual(Math.min(claimant.demand, amount * claimant.share / shares) - 1e-6))
    const totalDemand = claimants.reduce((sum, claimant) => sum + claimant.demand, 0)
    expect(total).toBeGreaterThanOrEqual(Math.min(totalDemand, amount) - 1e-6)
  }), { seed: 11, numRuns: 300 })
})

test('in an outage extra attempts are limited to a tenth of the first attempts', () => {
  const budget = new RatioAttemptBudget()
  let extraAttempts = 0
  for (let index = 0; index < 10_000; index++) {
    const now = index * 2
    budget.recordFirstAttempt(now)
    while (budget.tryAcquire(now)) extraAttempts++
  }
  expect(extraAttempts).toBeLessThanOrEqual(1_000 + 20 * 0.2 + 10)
  expect(extraAttempts).toBeGreaterThan(950)
})

test('a daemon with little traffic can still retry occasionally', () => {
  const budget = new RatioAttemptBudget()
  expect(budget.tryAcquire(0)).toBe(true)
  expect(budget.tryAcquire(1)).toBe(false)
  expect(budget.tryAcquire(10_000)).toBe(true)
})
