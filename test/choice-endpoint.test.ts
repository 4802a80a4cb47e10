import { expect, test } from 'vitest'
import { EndpointKind, type LoadReport, Priority, type Refusal, RefusalCode, RunState, SeededRandomness } from '../src/contract/index.ts'
import { AffinityEndpointPolicy, AttemptEnd, type EndpointPolicyOptions, type EndpointRequest, type EndpointView, RegionLinkBudget } from '../src/choice/index.ts'

const here = { region: 'north', dataCentre: 'north-a' }
const startMilliseconds = 1_000_000

function createPolicy (overrides: Partial<EndpointPolicyOptions> = {}): AffinityEndpointPolicy {
  return new AffinityEndpointPolicy({ here, randomness: new SeededRandomness(5), link: new RegionLinkBudget(100_000), ...overrides })
}

function viewOf (name: string, report: Partial<LoadReport> = {}, overrides: Partial<EndpointView> & { region?: string } = {}): EndpointView {
  const { region, ...rest } = overrides
  const place = region === undefined ? here : { region, dataCentre: `${region}-a` }
  return {
    endpoint: { name, kind: EndpointKind.Engine, address: '127.0.0.1:1', place, versions: ['small@1'], service: undefined, checksFencing: true },
    healthy: true,
    leaving: false,
    report: {
      at: startMilliseconds - 300,
      incarnation: 1,
      versions: ['small@1'],
      running: 4,
      queued: 0,
      queuedPromptTokens: 0,
      streamLimit: 32,
      prefillTokensPerSecond: 8_000,
      betweenTokensMilliseconds: 10,
      leaving: false,
      ...report
    },
    reportedAt: startMilliseconds,
    ...rest
  }
}

function requestWith (overrides: Partial<EndpointRequest> = {}): EndpointRequest {
  return {
    id: 'r',
    organisation: 'harbour',
    version: 'small@1',
    prefixKey: 'harbour/lookup',
    session: undefined,
    promptTokens: 500,
    expectedCompletionTokens: 60,
    priority: Priority.Interactive,
    remainingMilliseconds: 60_000,
    excludedEndpoints: new Set(),
    ...overrides
  }
}

function engineNames (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `engine-${index}`)
}

function chosenName (policy: AffinityEndpointPolicy, request: EndpointRequest, views: readonly EndpointView[], now = startMilliseconds): string {
  return policy.choose(request, views, now).unwrap().endpoint.name
}

function refusalOf (policy: AffinityEndpointPolicy, request: EndpointRequest, views: readonly EndpointView[], now = startMilliseconds): Refusal {
  const outcome = policy.choose(request, views, now)
  expect(outcome.ok).toBe(false)
  return outcome.val as Refusal
}

/** Opens attempts at an endpoint and closes each as failed. */
function failAttempts (policy: AffinityEndpointPolicy, views: readonly EndpointView[], name: string, count: number, now = startMilliseconds): void {
  const endpoint = views.find(view => view.endpoint.name === name)!.endpoint
  for (let index = 0; index < count; index++) {
    const attempt = policy.open(requestWith({ prefixKey: `f${index}` }), { endpoint, expectedFirstTokenMilliseconds: 100 }, now)
    attempt.close({ end: AttemptEnd.Failed, firstTokenMilliseconds: undefined, completionTokens: 0 }, now)
  }
}

/** Returns the fraction of choices, each with its own prefix, that select the endpoint. */
function chosenShare (policy: AffinityEndpointPolicy, views: readonly EndpointView[], name: string, now = startMilliseconds, count = 1_000): number {
  let chosenCount = 0
  for (let index = 0; index < count; index++) if (chosenName(policy, requestWith({ prefixKey: `p${index}` }), views, now) === name) chosenCount++
  return chosenCount / count
}

test('daemons that have not communicated choose the same endpoint for a session', () => {
  const views = engineNames(12).map(name => viewOf(name))
  for (let index = 0; index < 50; index++) {
    const request = requestWith({ session: `session-${index}`, promptTokens: 6_000 })
    const first = chosenName(createPolicy({ randomness: new SeededRandomness(1) }), request, views)
    expect(chosenName(createPolicy({ randomness: new SeededRandomness(2) }), request, views)).toBe(first)
  }
})

test('removing an endpoint moves only its own sessions', () => {
  const views = engineNames(12).map(name => viewOf(name))
  const sessionRequests = Array.from({ length: 300 }, (_, index) => requestWith({ session: `session-${index}`, promptTokens: 6_000 }))
  const before = sessionRequests.map(request => chosenName(createPolicy(), request, views))
  const after = sessionRequests.map(request => chosenName(createPolicy(), request, views.filter(view => view.endpoint.name !== 'engine-3')))
  const moved = sessionRequests.filter((_, index) => before[index] !== 'engine-3' && before[index] !== after[index])
  expect(moved).toHaveLength(0)
})

test('an endpoint loaded well above the mean loses its sessions until its load falls', () => {
  const views = engineNames(12).map(name => viewOf(name))
  const request = requestWith({ session: 'popular', promptTokens: 6_000 })
  const preferredName = chosenName(createPolicy(), request, views)
  const loaded = views.map(view => view.endpoint.name === preferredName ? viewOf(preferredName, { running: 32, queued: 8 }) : view)
  expect(chosenName(createPolicy(), request, loaded)).not.toBe(preferredName)
  expect(chosenName(createPolicy(), request, views)).toBe(preferredName)
})

test('70 daemons with the same stale report do not all choose the least loaded endpoint', () => {
  const views = engineNames(120).map((name, index) => viewOf(name, { running: index === 7 ? 0 : 20 }))
  let emptiestCount = 0
  for (let daemon = 0; daemon < 70; daemon++) {
    const policy = createPolicy({ randomness: new SeededRandomness(daemon) })
    if (chosenName(policy, requestWith({ prefixKey: `prefix-${daemon}` }), views) === 'engine-7') emptiestCount++
  }
  expect(emptiestCount).toBeLessThan(8)
})

test('requests sent since the last load report count towards the load of an endpoint', () => {
  const views = ['a', 'b'].map(name => viewOf(name))
  const policy = createPolicy()
  const endpoint = views[0]!.endpoint
  for (let index = 0; index < 30; index++) policy.open(requestWith({ promptTokens: 4_000 }), { endpoint, expectedFirstTokenMilliseconds: 100 }, startMilliseconds)
  expect(chosenShare(policy, views, 'a', startMilliseconds, 200)).toBeLessThan(0.1)
})

test('faster hardware gets more requests than slower hardware', () => {
  const oldViews = ['old-1', 'old-2'].map(name => viewOf(name, { streamLimit: 16, running: 2, prefillTokensPerSecond: 3_600, betweenTokensMilliseconds: 22 }))
  const views = [...oldViews, viewOf('new-1'), viewOf('new-2')]
  const policy = createPolicy()
  const share = chosenShare(policy, views, 'new-1') + chosenShare(policy, views, 'new-2')
  expect(share).toBeGreaterThan(0.65)
})

test('an endpoint with the version loaded is preferred to one that would have to load it', () => {
  const views = [viewOf('cold', { versions: [], running: 0 }), viewOf('warm', { running: 25 })]
  expect(chosenShare(createPolicy(), views, 'warm')).toBe(1)
})

test('a leaving endpoint and an excluded one are never chosen', () => {
  const views = [viewOf('leaving', {}, { leaving: true }), viewOf('says-leaving', { leaving: true }), viewOf('tried'), viewOf('left')]
  const policy = createPolicy()
  for (let index = 0; index < 100; index++) {
    expect(chosenName(policy, requestWith({ prefixKey: `p${index}`, excludedEndpoints: new Set(['tried']) }), views)).toBe('left')
  }
})

test('an endpoint with failed attempts is ejected and readmitted gradually', () => {
  const views = engineNames(6).map(name => viewOf(name))
  const policy = createPolicy()
  const before = chosenShare(policy, views, 'engine-2')
  failAttempts(policy, views, 'engine-2', 3)
  expect(chosenShare(policy, views, 'engine-2')).toBe(0)
  const shareAfterEjection = chosenShare(policy, views, 'engine-2', startMilliseconds + 5_500)
  const shareAfterRampUp = chosenShare(policy, views, 'engine-2', startMilliseconds + 16_000)
  expect(shareAfterEjection).toBeLessThan(before / 3)
  expect(shareAfterRampUp).toBeGreaterThan(before / 2)
})

test('failures with a common cause do not eject the whole pool', () => {
  const views = engineNames(6).map(name => viewOf(name))
  const policy = createPolicy()
  for (const name of engineNames(6)) failAttempts(policy, views, name, 5)
  const chosenNames = new Set(Array.from({ length: 300 }, (_, index) => chosenName(policy, requestWith({ prefixKey: `p${index}` }), views)))
  expect(chosenNames.size).toBe(6)
})

test('an endpoint that recovers without load is not overwhelmed with requests', () => {
  const unhealthyViews = engineNames(8).map(name => viewOf(name, { running: 24 }, { healthy: name !== 'engine-1' }))
  const recoveredViewsAt = (now: number) => engineNames(8).map(name => viewOf(name, { at: now - 300, running: name === 'engine-1' ? 0 : 24 }, { reportedAt: now }))
  const policy = createPolicy()
  expect(chosenShare(policy, unhealthyViews, 'engine-1')).toBe(0)
  expect(chosenShare(policy, recoveredViewsAt(startMilliseconds + 100), 'engine-1', startMilliseconds + 100)).toBeLessThan(0.06)
  expect(chosenShare(policy, recoveredViewsAt(startMilliseconds + 12_000), 'engine-1', startMilliseconds + 12_000)).toBeGreaterThan(0.1)
})

test('the other region is used only if it is much faster and the link has bandwidth left', () => {
  const near = viewOf('near', { running: 32, queued: 40, queuedPromptTokens: 100_000 })
  const far = viewOf('far', { running: 0 }, { region: 'south' })
  const idle = viewOf('near', { running: 8 })
  expect(chosenShare(createPolicy(), [idle, far], 'far')).toBe(0)
  expect(chosenShare(createPolicy(), [near, far], 'far')).toBe(1)
  const lowBudgetPolicy = createPolicy({ link: new RegionLinkBudget(4_000) })
  let remoteChoices = 0
  for (let index = 0; index < 50; index++) {
    const choice = lowBudgetPolicy.choose(requestWith(), [near, far], startMilliseconds).unwrap()
    if (choice.endpoint.name !== 'far') continue
    lowBudgetPolicy.open(requestWith(), choice, startMilliseconds)
    remoteChoices++
  }
  expect(remoteChoices).toBeLessThanOrEqual(2)
})

test('a request whose expected wait exceeds its deadline is refused at once as not run, with a retry delay', () => {
  const views = engineNames(3).map(name => viewOf(name, { running: 32, queued: 300, queuedPromptTokens: 400_000 }))
  const refusal = refusalOf(createPolicy(), requestWith({ remainingMilliseconds: 3_000 }), views)
  expect(refusal.code).toBe(RefusalCode.Overloaded)
  expect(refusal.run).toBe(RunState.NotRun)
  expect(refusal.retryAfterSeconds).toBeGreaterThan(1)
})

test('a request whose deadline even an idle endpoint would miss is refused as too near', () => {
  const refusal = refusalOf(createPolicy(), requestWith({ remainingMilliseconds: 300 }), [viewOf('idle', { running: 0 })])
  expect(refusal.code).toBe(RefusalCode.DeadlineTooNear)
})

test('a refusal names the missing endpoint when no endpoint has the version', () => {
  const refusal = refusalOf(createPolicy(), requestWith({ version: 'large@1' }), [viewOf('a')])
  expect(refusal.code).toBe(RefusalCode.NoEndpoint)
  expect(refusal.retryAfterSeconds).toBeGreaterThanOrEqual(1)
})
