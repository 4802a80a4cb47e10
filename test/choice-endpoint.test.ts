import { expect, test } from 'vitest'
import { EndpointKind, type LoadReport, Priority, type Refusal, RefusalCode, RunState, SeededRandomness } from '../src/contract/index.ts'
import { AffinityEndpointPolicy, AttemptEnd, type EndpointPolicyOptions, type EndpointRequest, type EndpointView, RegionLinkBudget } from '../src/choice/index.ts'

const here = { region: 'north', dataCentre: 'north-a' }
const start = 1_000_000

function policyOf (parts: Partial<EndpointPolicyOptions> = {}): AffinityEndpointPolicy {
  return new AffinityEndpointPolicy({ here, randomness: new SeededRandomness(5), link: new RegionLinkBudget(100_000), ...parts })
}

function view (name: string, report: Partial<LoadReport> = {}, more: Partial<EndpointView> & { region?: string } = {}): EndpointView {
  const { region, ...rest } = more
  const place = region === undefined ? here : { region, dataCentre: `${region}-a` }
  return {
    endpoint: { name, kind: EndpointKind.Engine, address: '127.0.0.1:1', place, versions: ['small@1'], service: undefined, checksFencing: true },
    healthy: true,
    leaving: false,
    report: {
      at: start - 300,
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
    reportedAt: start,
    ...rest
  }
}

function request (more: Partial<EndpointRequest> = {}): EndpointRequest {
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
    ...more
  }
}

function names (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `engine-${index}`)
}

function chosenName (policy: AffinityEndpointPolicy, asked: EndpointRequest, views: readonly EndpointView[], now = start): string {
  return policy.choose(asked, views, now).unwrap().endpoint.name
}

function refusalOf (policy: AffinityEndpointPolicy, asked: EndpointRequest, views: readonly EndpointView[], now = start): Refusal {
  const outcome = policy.choose(asked, views, now)
  expect(outcome.ok).toBe(false)
  return outcome.val as Refusal
}

/** Fails attempts at an endpoint. */
function fail (policy: AffinityEndpointPolicy, views: readonly EndpointView[], name: string, times: number, now = start): void {
  const endpoint = views.find(one => one.endpoint.name === name)!.endpoint
  for (let index = 0; index < times; index++) {
    const attempt = policy.open(request({ prefixKey: `f${index}` }), { endpoint, expectedFirstTokenMilliseconds: 100 }, now)
    attempt.close({ end: AttemptEnd.Failed, firstTokenMilliseconds: undefined, completionTokens: 0 }, now)
  }
}

/** The share of choices, each with its own prefix, that fall on an endpoint. */
function shareOf (policy: AffinityEndpointPolicy, views: readonly EndpointView[], name: string, now = start, count = 1_000): number {
  let hits = 0
  for (let index = 0; index < count; index++) if (chosenName(policy, request({ prefixKey: `p${index}` }), views, now) === name) hits++
  return hits / count
}

test('daemons that never spoke to each other send a session to the same endpoint', () => {
  const views = names(12).map(name => view(name))
  for (let index = 0; index < 50; index++) {
    const asked = request({ session: `session-${index}`, promptTokens: 6_000 })
    const first = chosenName(policyOf({ randomness: new SeededRandomness(1) }), asked, views)
    expect(chosenName(policyOf({ randomness: new SeededRandomness(2) }), asked, views)).toBe(first)
  }
})

test('when an endpoint goes only its own sessions move', () => {
  const views = names(12).map(name => view(name))
  const sessions = Array.from({ length: 300 }, (_, index) => request({ session: `session-${index}`, promptTokens: 6_000 }))
  const before = sessions.map(asked => chosenName(policyOf(), asked, views))
  const after = sessions.map(asked => chosenName(policyOf(), asked, views.filter(one => one.endpoint.name !== 'engine-3')))
  const moved = sessions.filter((_, index) => before[index] !== 'engine-3' && before[index] !== after[index])
  expect(moved).toHaveLength(0)
})

test('an endpoint loaded well above the mean loses its sessions until it has room', () => {
  const views = names(12).map(name => view(name))
  const asked = request({ session: 'popular', promptTokens: 6_000 })
  const home = chosenName(policyOf(), asked, views)
  const loaded = views.map(one => one.endpoint.name === home ? view(home, { running: 32, queued: 8 }) : one)
  expect(chosenName(policyOf(), asked, loaded)).not.toBe(home)
  expect(chosenName(policyOf(), asked, views)).toBe(home)
})

test('seventy daemons that see one stale report do not all choose the emptiest endpoint', () => {
  const views = names(120).map((name, index) => view(name, { running: index === 7 ? 0 : 20 }))
  let herd = 0
  for (let daemon = 0; daemon < 70; daemon++) {
    const policy = policyOf({ randomness: new SeededRandomness(daemon) })
    if (chosenName(policy, request({ prefixKey: `prefix-${daemon}` }), views) === 'engine-7') herd++
  }
  expect(herd).toBeLessThan(8)
})

test('what a daemon sent since the report counts against an endpoint', () => {
  const views = ['a', 'b'].map(name => view(name))
  const policy = policyOf()
  const endpoint = views[0]!.endpoint
  for (let index = 0; index < 30; index++) policy.open(request({ promptTokens: 4_000 }), { endpoint, expectedFirstTokenMilliseconds: 100 }, start)
  expect(shareOf(policy, views, 'a', start, 200)).toBeLessThan(0.1)
})

test('new hardware is given more work than old', () => {
  const old = ['old-1', 'old-2'].map(name => view(name, { streamLimit: 16, running: 2, prefillTokensPerSecond: 3_600, betweenTokensMilliseconds: 22 }))
  const views = [...old, view('new-1'), view('new-2')]
  const policy = policyOf()
  const share = shareOf(policy, views, 'new-1') + shareOf(policy, views, 'new-2')
  expect(share).toBeGreaterThan(0.65)
})

test('an endpoint that has the version loaded goes before one that is to load it', () => {
  const views = [view('cold', { versions: [], running: 0 }), view('warm', { running: 25 })]
  expect(shareOf(policyOf(), views, 'warm')).toBe(1)
})

test('a leaving endpoint and one already tried get nothing', () => {
  const views = [view('leaving', {}, { leaving: true }), view('says-leaving', { leaving: true }), view('tried'), view('left')]
  const policy = policyOf()
  for (let index = 0; index < 100; index++) {
    expect(chosenName(policy, request({ prefixKey: `p${index}`, excludedEndpoints: new Set(['tried']) }), views)).toBe('left')
  }
})

test('an endpoint that fails its attempts is left out and comes back slowly', () => {
  const views = names(6).map(name => view(name))
  const policy = policyOf()
  const before = shareOf(policy, views, 'engine-2')
  fail(policy, views, 'engine-2', 3)
  expect(shareOf(policy, views, 'engine-2')).toBe(0)
  const justBack = shareOf(policy, views, 'engine-2', start + 5_500)
  const later = shareOf(policy, views, 'engine-2', start + 16_000)
  expect(justBack).toBeLessThan(before / 3)
  expect(later).toBeGreaterThan(before / 2)
})

test('a common cause does not empty the pool', () => {
  const views = names(6).map(name => view(name))
  const policy = policyOf()
  for (const name of names(6)) fail(policy, views, name, 5)
  const used = new Set(Array.from({ length: 300 }, (_, index) => chosenName(policy, request({ prefixKey: `p${index}` }), views)))
  expect(used.size).toBe(6)
})

test('an endpoint that was away is not stampeded when it comes back empty', () => {
  const away = names(8).map(name => view(name, { running: 24 }, { healthy: name !== 'engine-1' }))
  const backAt = (now: number) => names(8).map(name => view(name, { at: now - 300, running: name === 'engine-1' ? 0 : 24 }, { reportedAt: now }))
  const policy = policyOf()
  expect(shareOf(policy, away, 'engine-1')).toBe(0)
  expect(shareOf(policy, backAt(start + 100), 'engine-1', start + 100)).toBeLessThan(0.06)
  expect(shareOf(policy, backAt(start + 12_000), 'engine-1', start + 12_000)).toBeGreaterThan(0.1)
})

test('the other region is used only when it is much sooner and the link has room', () => {
  const near = view('near', { running: 32, queued: 40, queuedPromptTokens: 100_000 })
  const far = view('far', { running: 0 }, { region: 'south' })
  const idle = view('near', { running: 8 })
  expect(shareOf(policyOf(), [idle, far], 'far')).toBe(0)
  expect(shareOf(policyOf(), [near, far], 'far')).toBe(1)
  const narrow = policyOf({ link: new RegionLinkBudget(4_000) })
  let sent = 0
  for (let index = 0; index < 50; index++) {
    const choice = narrow.choose(request(), [near, far], start).unwrap()
    if (choice.endpoint.name !== 'far') continue
    narrow.open(request(), choice, start)
    sent++
  }
  expect(sent).toBeLessThanOrEqual(2)
})

test('a request that would be late for its wait is refused at once, not run, with the time to come back', () => {
  const views = names(3).map(name => view(name, { running: 32, queued: 300, queuedPromptTokens: 400_000 }))
  const refusal = refusalOf(policyOf(), request({ remainingMilliseconds: 3_000 }), views)
  expect(refusal.code).toBe(RefusalCode.Overloaded)
  expect(refusal.run).toBe(RunState.NotRun)
  expect(refusal.retryAfterSeconds).toBeGreaterThan(1)
})

test('a deadline that even an idle endpoint would miss is refused as too near', () => {
  const refusal = refusalOf(policyOf(), request({ remainingMilliseconds: 300 }), [view('idle', { running: 0 })])
  expect(refusal.code).toBe(RefusalCode.DeadlineTooNear)
})

test('where nothing has the version the refusal says so', () => {
  const refusal = refusalOf(policyOf(), request({ version: 'large@1' }), [view('a')])
  expect(refusal.code).toBe(RefusalCode.NoEndpoint)
  expect(refusal.retryAfterSeconds).toBeGreaterThanOrEqual(1)
})
