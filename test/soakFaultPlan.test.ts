import { expect, test } from 'vitest'
import { FaultPlace, type PlannedFault, planFaults } from '../trial/soak/faultPlan.ts'
import { GatewayFault } from '../trial/soak/faults.ts'

const seconds = 60
const seeds = Array.from({ length: 50 }, (_, index) => index + 1)
const plans = seeds.map(seed => planFaults({ seed, seconds }))

function isSeries (left: PlannedFault, right: PlannedFault): boolean {
  return left.place === right.place && left.fault === right.fault
}

test('the same seed makes the same plan, and another seed another one', () => {
  expect(planFaults({ seed: 7, seconds })).toEqual(planFaults({ seed: 7, seconds }))
  expect(new Set(plans.map(plan => JSON.stringify(plan))).size).toBe(seeds.length)
})

test('faults come in order, within the time that leaves the callers a calm end', () => {
  for (const plan of plans) {
    const times = plan.map(fault => fault.atMilliseconds)
    expect(times).toEqual(times.toSorted((left, right) => left - right))
    expect(Math.max(...times)).toBeLessThan((seconds - 3) * 1_000)
  }
})

test('in each plan faults of one kind come in series, and faults of different kinds overlap', () => {
  for (const plan of plans) {
    expect(plan.filter((fault, index) => plan.slice(index + 1).some(later => isSeries(fault, later))).length).toBeGreaterThan(plan.length / 2)
    const hasOverlap = plan.some(fault => plan.some(other => !isSeries(fault, other) && other.atMilliseconds >= fault.atMilliseconds && other.atMilliseconds < fault.atMilliseconds + fault.milliseconds))
    expect(hasOverlap).toBe(true)
  }
})

test('series hit one gateway again and again, one after the other and several at once', () => {
  const restarts = plans.flat().filter(({ fault }) => fault === GatewayFault.Restart)
  const pairs = restarts.slice(1).map((restart, index) => ({ restart, before: restarts[index]! }))
  expect(pairs.some(({ restart, before }) => restart.target === before.target)).toBe(true)
  expect(pairs.some(({ restart, before }) => restart.target === before.target + 1 && restart.atMilliseconds > before.atMilliseconds)).toBe(true)
  expect(pairs.some(({ restart, before }) => restart.target === before.target + 1 && restart.atMilliseconds === before.atMilliseconds)).toBe(true)
})

test('over the seeds there are faults in every place, and plans without those of each place but the gateways', () => {
  const places = plans.map(plan => new Set(plan.map(({ place }) => place)))
  for (const place of Object.values(FaultPlace)) expect(places.some(found => found.has(place))).toBe(true)
  for (const place of Object.values(FaultPlace)) if (place !== FaultPlace.Gateway) expect(places.some(found => !found.has(place))).toBe(true)
})

test('three quarters of the seeds restart gateways, and small seeds draw as any others', () => {
  const restarting = plans.filter(plan => plan.some(({ fault }) => fault === GatewayFault.Restart))
  expect(restarting.length).toBeGreaterThan(seeds.length * 0.7)
  expect(plans.slice(0, 5).some(plan => plan.some(({ fault }) => fault === GatewayFault.Restart))).toBe(true)
})

test('a freeze lasts from 0.3 to 1.8 s', () => {
  const freezes = plans.flat().filter(({ fault }) => fault === GatewayFault.Freeze).map(({ milliseconds }) => milliseconds)
  expect(Math.min(...freezes)).toBeGreaterThanOrEqual(300)
  expect(Math.max(...freezes)).toBeLessThanOrEqual(1_800)
})
