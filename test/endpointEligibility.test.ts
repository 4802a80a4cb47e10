import { expect, test } from 'vitest'
import { EndpointEligibility, EndpointRegistry, Evacuations, Ineligibility, allowedByBoth } from '../src/placement/index.ts'
import type { RoutedEndpoint } from '../src/routing/index.ts'
import { noMisdirected } from './fakes/misdirection.ts'

const endpointIn = (region: string, dataCentre: string): RoutedEndpoint => ({ identity: `e-${dataCentre}`, bornAt: 1, service: 'engines', address: '10.0.0.1:1', place: { region, dataCentre }, version: 'v1', isDraining: false, models: [] })
const endpoints = [endpointIn('coast', 'coast-1'), endpointIn('coast', 'coast-2'), endpointIn('hills', 'hills-1')]

function eligibilityWith (evacuated: readonly string[] = [], known = endpoints, misdirected = noMisdirected()) {
  const registry = new EndpointRegistry()
  registry.update({ endpoints: known, wasStoreUnavailable: false, now: 0 })
  const evacuations = new Evacuations()
  evacuations.update(new Set(evacuated))
  return new EndpointEligibility(registry, evacuations, misdirected)
}

const request = (...regions: string[]) => ({ service: 'engines', allowedRegions: regions.length === 0 ? undefined : new Set(regions) })
const dataCentresFor = (eligibility: EndpointEligibility, asked: ReturnType<typeof request>) => eligibility.endpointsFor(asked, 0).map(({ place }) => place.dataCentre)

test('a request reaches only endpoints of its allowed regions, and all without such a setting', () => {
  expect(dataCentresFor(eligibilityWith(), request())).toEqual(['coast-1', 'coast-2', 'hills-1'])
  expect(dataCentresFor(eligibilityWith(), request('hills'))).toEqual(['hills-1'])
  expect(eligibilityWith().isEligible(endpoints[0]!, new Set(['hills']), 0)).toBe(false)
})

test('the regions of a route and of an organisation both bind', () => {
  expect(allowedByBoth(undefined, undefined)).toBeUndefined()
  expect(allowedByBoth(new Set(['coast']), undefined)).toEqual(new Set(['coast']))
  expect(allowedByBoth(new Set(['coast', 'hills']), new Set(['hills', 'plain']))).toEqual(new Set(['hills']))
  const conflicting = { service: 'engines', allowedRegions: allowedByBoth(new Set(['coast']), new Set(['hills'])) }
  expect(eligibilityWith().endpointsFor(conflicting, 0)).toEqual([])
  expect(eligibilityWith().ineligibilityOf(conflicting, 0)).toBe(Ineligibility.NoAllowedRegion)
})

test('an endpoint of an evacuated data centre gets nothing, also if it was chosen before', () => {
  const eligibility = eligibilityWith(['coast-1', 'nowhere'])
  expect(dataCentresFor(eligibility, request())).toEqual(['coast-2', 'hills-1'])
  expect(eligibility.isEligible(endpoints[0]!, undefined, 0)).toBe(false)
})

test('what leaves a request without an endpoint is told apart', () => {
  expect(eligibilityWith().ineligibilityOf(request('coast'), 0)).toBeUndefined()
  expect(eligibilityWith().ineligibilityOf(request('plain'), 0)).toBe(Ineligibility.NoAllowedRegion)
  expect(eligibilityWith(['hills-1']).ineligibilityOf(request('hills'), 0)).toBe(Ineligibility.Evacuated)
  expect(eligibilityWith(['coast-1', 'coast-2', 'hills-1']).ineligibilityOf(request(), 0)).toBe(Ineligibility.Evacuated)
  expect(eligibilityWith([], []).ineligibilityOf(request(), 0)).toBe(Ineligibility.NoEndpoint)
})

test('an endpoint whose address answers for another one gets nothing, also if it was chosen before, and a service of such endpoints has none', () => {
  const misdirected = noMisdirected()
  const eligibility = eligibilityWith([], endpoints, misdirected)
  for (const endpoint of endpoints.slice(0, 2)) misdirected.recordRejection(endpoint, 0, 0)
  expect(dataCentresFor(eligibility, request())).toEqual(['hills-1'])
  expect(eligibility.isEligible(endpoints[0]!, undefined, 0)).toBe(false)
  expect(eligibility.ineligibilityOf(request(), 0)).toBeUndefined()
  expect(eligibility.ineligibilityOf(request('coast'), 0)).toBe(Ineligibility.NoAllowedRegion)
  misdirected.recordRejection(endpoints[2]!, 0, 0)
  expect(eligibility.ineligibilityOf(request(), 0)).toBe(Ineligibility.NoEndpoint)
})

test('a change of the orders names what it began and ended', () => {
  const evacuations = new Evacuations()
  expect(evacuations.update(new Set(['a', 'b']))).toEqual({ begun: ['a', 'b'], ended: [] })
  expect(evacuations.update(new Set(['b', 'c']))).toEqual({ begun: ['c'], ended: ['a'] })
})
