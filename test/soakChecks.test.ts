import { expect, test } from 'vitest'
import { findAll } from '../trial/soak/checks.ts'
import { EndpointFault, EndpointProcessFault, type Fault, GatewayFault, LinkFault, PlatformFault } from '../trial/soak/faults.ts'
import { callerLink, endpointLink, storeLink } from '../trial/soak/faultTargets.ts'
import { CallerEnd, type ConfigurationRecord, type FaultRecord, type ProcessorWaitRecord, type RequestRecord, RunEnd, type RunRecord, type SoakRecord, unaskedRequest } from '../trial/soak/records.ts'
import { SoakView } from '../trial/soak/soakView.ts'

const startedAt = 1_000_000
const bounds = {
  routes: [
    { prefix: '/release/', isStream: false, isRepeatable: false, isResumable: false, timeoutMilliseconds: 2_000 },
    { prefix: '/balance/', isStream: false, isRepeatable: true, isResumable: false, timeoutMilliseconds: 2_000 },
    { prefix: '/query/', isStream: true, isRepeatable: true, isResumable: true, timeoutMilliseconds: 2_000 }
  ],
  graceMilliseconds: 6_000,
  applyMilliseconds: 2_500,
  memoryBytes: 200
}

function requestOf (changes: Partial<RequestRecord> = {}): RequestRecord {
  const sentAt = changes.sentAt ?? startedAt
  return {
    type: 'request', request: 'c0-0-0-0', gateway: 'gateway-1', connection: 0, position: 0, path: '/release/run?work=20', sentAt, wholeAt: sentAt, endedAt: sentAt + 100, deadlineAt: sentAt + 10_000, end: CallerEnd.Answered, status: 200, answeredRequest: changes.request ?? 'c0-0-0-0', answeredBy: 'ledger-1.1', events: [], habit: undefined, key: 'good-key', ...changes
  }
}

function cutOf (changes: Partial<RequestRecord> = {}): RequestRecord {
  return requestOf({ end: CallerEnd.Closed, status: undefined, answeredRequest: undefined, answeredBy: undefined, ...changes })
}

function streamOf (changes: Partial<RequestRecord> = {}): RequestRecord {
  return requestOf({ path: '/query/run?events=3&gap=20', events: ['1', '2', '3'], ...changes })
}

function runOf (changes: Partial<RunRecord> = {}): RunRecord {
  return { type: 'run', request: 'c0-0-0-0', endpoint: 'ledger-1.1', service: 'ledger', path: '/release/run?work=20', startedAt: startedAt + 10, endedAt: startedAt + 30, end: RunEnd.Answered, ...changes }
}

function faultOf (target: string, fault: Fault, changes: Partial<FaultRecord> = {}): FaultRecord {
  return { type: 'fault', target, fault, at: startedAt + 10, until: startedAt + 50, ...changes }
}

function configurationOf (changes: Partial<ConfigurationRecord> = {}): ConfigurationRecord {
  const routes = bounds.routes.map(({ prefix, timeoutMilliseconds }) => ({ prefix, service: 'ledger', timeoutMilliseconds }))
  return { type: 'configuration', version: 1, sentAt: startedAt - 60_000, acknowledgedAt: startedAt - 60_000, routes, keys: ['good-key'], ...changes }
}

function checksOf (...records: readonly SoakRecord[]): readonly string[] {
  return findAll(new SoakView([configurationOf(), ...records], bounds)).map(({ check }) => check)
}

const lost = 'passed on and closed without a whole answer'
const dropped = 'closed without being passed on or refused'
const late = 'answered late'
const halfClosed = 'closed without an answer to a caller that ended its own side only'
const refusedAndRun = 'refused as not run, and run'
const gap = 'a stream with a gap'
const sideBySide = 'two runs side by side'
const wrongSettings = 'handled as no configuration in force allows'

test('requests that are answered by the endpoint that ran them are no finding', () => {
  expect(checksOf(requestOf(), runOf())).toEqual([])
  expect(checksOf(streamOf(), runOf())).toEqual([])
})

test.each([CallerEnd.Closed, CallerEnd.Reset])('a request that ran at a sound endpoint and whose connection was %s is lost', end => {
  expect(checksOf(cutOf({ end }), runOf())).toEqual([lost])
  expect(checksOf(cutOf({ end }), runOf({ end: RunEnd.Abandoned }))).toEqual([lost])
})

test('a whole request that was not passed on is dropped, unless its connection was about to close', () => {
  expect(checksOf(cutOf())).toEqual([dropped])
  expect(checksOf(cutOf(), runOf({ end: RunEnd.NotRun }))).toEqual([dropped])
  expect(checksOf(cutOf({ wholeAt: undefined }))).toEqual([])
  const behind = cutOf({ request: 'c0-0-0-1', position: 1 })
  expect(checksOf(requestOf(), runOf(), behind)).toEqual([dropped])
  expect(checksOf(requestOf({ announcesClose: true }), runOf(), behind)).toEqual([])
  expect(checksOf(cutOf({ end: CallerEnd.Left }), behind)).toEqual([])
  for (const fault of [GatewayFault.Restart, GatewayFault.Move, GatewayFault.Kill]) expect(checksOf(cutOf(), faultOf('gateway-1', fault))).toEqual([])
  for (const fault of [GatewayFault.Freeze, GatewayFault.Reload]) expect(checksOf(cutOf(), faultOf('gateway-1', fault))).toEqual([dropped])
  expect(checksOf(cutOf(), faultOf(callerLink('gateway-1'), LinkFault.Reset))).toEqual([])
})

test('a request that ran behind a stream which was cut is lost, and names the stream', () => {
  const stream = cutOf({ path: '/query/run?events=3&gap=900', status: 200, answeredBy: 'ledger-1.1', events: ['1', '2'], endedAt: startedAt + 2_000 })
  const behind = cutOf({ request: 'c0-0-0-1', position: 1, endedAt: startedAt + 1_900 })
  const [finding, ...others] = findAll(new SoakView([stream, behind, runOf({ end: RunEnd.Abandoned }), runOf({ request: 'c0-0-0-1' })], bounds))
  expect(others).toEqual([])
  expect(finding).toMatchObject({ check: lost, subject: 'c0-0-0-1', gateway: 'gateway-1' })
  expect(finding?.detail).toContain('behind c0-0-0-0 (/query/run?events=3&gap=900, 200, closed)')
})

test('a caller that left has lost nothing', () => {
  expect(checksOf(cutOf({ end: CallerEnd.Left }), runOf())).toEqual([])
})

test('a kill of the gateway excuses what it lost, a kill of another or at another time does not', () => {
  expect(checksOf(cutOf(), runOf(), faultOf('gateway-1', GatewayFault.Kill))).toEqual([])
  expect(checksOf(cutOf(), runOf(), faultOf('gateway-2', GatewayFault.Kill))).toEqual([lost])
  expect(checksOf(cutOf(), runOf(), faultOf('gateway-1', GatewayFault.Kill, { at: startedAt - 5_000, until: startedAt - 4_000 }))).toEqual([lost])
})

test.each([GatewayFault.Restart, GatewayFault.Move, GatewayFault.Reload, GatewayFault.Freeze])('a %s of the gateway excuses no lost request', fault => {
  expect(checksOf(cutOf(), runOf(), faultOf('gateway-1', fault))).toEqual([lost])
})

test('a reset or silence of the caller link since its connection was used excuses a lost request, other faults do not', () => {
  const earlier = requestOf({ request: 'c0-0-0-0', sentAt: startedAt - 3_000 })
  const cut = cutOf({ request: 'c0-0-0-1', position: 1 })
  const records = [earlier, runOf(), cut, runOf({ request: 'c0-0-0-1' })]
  const before = { at: startedAt - 2_000, until: startedAt - 1_000 }
  expect(checksOf(...records, faultOf(callerLink('gateway-1'), LinkFault.Silence, before))).toEqual([])
  expect(checksOf(...records, faultOf(callerLink('gateway-1'), LinkFault.Reset, before))).toEqual([])
  expect(checksOf(...records, faultOf(callerLink('gateway-2'), LinkFault.Reset, before))).toEqual([lost])
  expect(checksOf(...records, faultOf(callerLink('gateway-1'), LinkFault.Delay, before))).toEqual([lost])
})

test('a request whose own deadline or timeout was reached is not lost', () => {
  expect(checksOf(cutOf({ deadlineAt: startedAt + 100 }), runOf())).toEqual([])
  expect(checksOf(cutOf({ endedAt: startedAt + 2_000 }), runOf())).toEqual([])
  expect(checksOf(cutOf({ endedAt: startedAt + 1_900 }), runOf())).toEqual([lost])
})

test('a run that lasts into the last sixth of a stop is excused if it was sent soon after the signal', () => {
  const stop = faultOf('gateway-1', GatewayFault.Restart, { at: startedAt, until: startedAt + 7_000 })
  const long = { routes: [{ prefix: '/release/', service: 'ledger', timeoutMilliseconds: 20_000 }] }
  const cut = cutOf({ sentAt: startedAt + 500, endedAt: startedAt + 5_500, deadlineAt: startedAt + 20_000 })
  expect(checksOf(configurationOf({ version: 2, ...long }), cut, runOf({ endedAt: startedAt + 5_400 }), stop)).toEqual([])
  expect(checksOf(configurationOf({ version: 2, ...long }), cut, runOf({ endedAt: startedAt + 4_000 }), stop)).toEqual([lost])
})

test('an older timeout ends a request only beside a store that was not stable', () => {
  const short = configurationOf()
  const long = configurationOf({ version: 2, sentAt: startedAt - 3_000, acknowledgedAt: startedAt - 3_000, routes: [{ prefix: '/release/', service: 'ledger', timeoutMilliseconds: 20_000 }] })
  const cut = cutOf({ endedAt: startedAt + 2_001 })
  expect(checksOf(short, long, cut, runOf())).toEqual([lost])
  expect(checksOf(short, long, cut, runOf(), faultOf('store', PlatformFault.StoreSilent, { at: startedAt - 3_500, until: startedAt }))).toEqual([])
  expect(checksOf(short, long, cut, runOf(), faultOf('store', PlatformFault.StoreSilent, { at: startedAt - 9_000, until: startedAt - 6_501 }))).toEqual([lost])
  expect(checksOf(short, long, cutOf({ endedAt: startedAt + 1_900 }), runOf(), faultOf('store', PlatformFault.StoreSilent))).toEqual([lost])
})

test('an endpoint that broke off, ended, froze or was out of reach is not sound', () => {
  expect(checksOf(cutOf(), runOf({ end: RunEnd.Faulty }))).toEqual([])
  for (const fault of Object.values(EndpointProcessFault)) expect(checksOf(cutOf(), runOf(), faultOf('ledger-1', fault))).toEqual([])
  expect(checksOf(cutOf(), runOf(), faultOf(endpointLink('ledger-1'), LinkFault.Reset))).toEqual([])
  expect(checksOf(cutOf(), runOf(), faultOf(endpointLink('ledger-2'), LinkFault.Reset))).toEqual([lost])
  expect(checksOf(cutOf(), runOf(), faultOf(endpointLink('ledger-1'), LinkFault.Pieces))).toEqual([lost])
})

test('an endpoint that fell silent in a run that was given up was not sound, one whose run was whole was', () => {
  const silence = faultOf('ledger-1', EndpointFault.FallSilent)
  expect(checksOf(cutOf(), runOf({ end: RunEnd.Abandoned }), silence)).toEqual([])
  expect(checksOf(cutOf(), runOf(), silence)).toEqual([lost])
  expect(checksOf(cutOf(), runOf({ end: RunEnd.Abandoned }), faultOf('ledger-1', EndpointFault.FallSilent, { at: startedAt + 31, until: startedAt + 60 }))).toEqual([lost])
})

test('a request that ran at an endpoint that broke off and then at a sound one is lost', () => {
  expect(checksOf(cutOf({ path: '/balance/run?work=20' }), runOf({ end: RunEnd.Faulty }), runOf({ endpoint: 'ledger-2.1', startedAt: startedAt + 40, endedAt: startedAt + 60 }))).toEqual([lost])
})

test('a run that goes on with a stream and fails can only be cut, one that fails at first is lost', () => {
  const cut = cutOf({ path: '/query/run?events=3&gap=20', status: 200, answeredBy: 'ledger-1.1', events: ['1'] })
  const first = runOf({ end: RunEnd.Faulty, status: 200 })
  const further = { endpoint: 'ledger-2.1', startedAt: startedAt + 40, endedAt: startedAt + 60 }
  expect(checksOf(cut, first, runOf({ ...further, status: 500, resumedAfter: '1' }))).toEqual([])
  expect(checksOf(cut, first, runOf({ ...further, status: 200, resumedAfter: '1' }))).toEqual([lost])
  expect(checksOf(cutOf(), runOf({ status: 500 }))).toEqual([lost])
})

test('an answer is late half a second after the deadline or the timeout', () => {
  expect(checksOf(requestOf({ endedAt: startedAt + 2_501 }), runOf())).toEqual([late])
  expect(checksOf(requestOf({ endedAt: startedAt + 2_500 }), runOf())).toEqual([])
  expect(checksOf(requestOf({ deadlineAt: startedAt + 400, endedAt: startedAt + 901 }), runOf())).toEqual([late])
  expect(checksOf(cutOf({ end: CallerEnd.Unanswered, endedAt: startedAt + 6_000 }))).toEqual(['never answered'])
})

test('an answer is owed once the request is whole, the answers before it have come, and the caller reads', () => {
  const endedAt = startedAt + 4_000
  expect(checksOf(requestOf({ endedAt, wholeAt: startedAt + 3_600 }), runOf())).toEqual([])
  expect(checksOf(requestOf({ endedAt, wholeAt: undefined }), runOf())).toEqual([])
  expect(checksOf(requestOf({ endedAt, readFrom: startedAt + 3_600 }), runOf())).toEqual([])
  const ahead = requestOf({ wholeAt: startedAt + 3_600, endedAt: startedAt + 3_700 })
  expect(checksOf(ahead, runOf(), requestOf({ request: 'c0-0-0-1', position: 1, endedAt }), runOf({ request: 'c0-0-0-1' }))).toEqual([])
})

test('the time for which gateway, proxies or callers waited for a processor does not count as late', () => {
  const waitsOf = (process: string, milliseconds: number): readonly ProcessorWaitRecord[] => [
    { type: 'processor_wait', process, at: startedAt - 500, milliseconds: 900 },
    { type: 'processor_wait', process, at: startedAt + 1_000, milliseconds: 900 + milliseconds },
    { type: 'processor_wait', process, at: startedAt + 3_000, milliseconds: 900 + milliseconds }
  ]
  const answered = [requestOf({ endedAt: startedAt + 2_600 }), runOf()]
  for (const process of ['gateway-1', 'c0', 'proxies']) expect(checksOf(...answered, ...waitsOf(process, 100))).toEqual([])
  expect(checksOf(...answered, ...waitsOf('gateway-1', 99))).toEqual([late])
  expect(checksOf(...answered, ...waitsOf('gateway-2', 900))).toEqual([late])
})

test('a gateway that was out of touch may answer late', () => {
  const answered = [requestOf({ endedAt: startedAt + 3_000 }), runOf()]
  for (const fault of [GatewayFault.Freeze, GatewayFault.Restart, GatewayFault.Move, GatewayFault.Kill]) expect(checksOf(...answered, faultOf('gateway-1', fault))).toEqual([])
  for (const fault of Object.values(LinkFault)) expect(checksOf(...answered, faultOf(callerLink('gateway-1'), fault))).toEqual([])
  expect(checksOf(...answered, faultOf('machine', PlatformFault.Load))).toEqual([])
  expect(checksOf(...answered, faultOf('gateway-1', GatewayFault.Reload))).toEqual([late])
  expect(checksOf(...answered, faultOf('gateway-1', GatewayFault.Freeze, { at: startedAt - 9_000, until: startedAt - 4_001 }))).toEqual([late])
})

test('a whole request of a caller that ended its own side is to be answered, whether it ran or not', () => {
  expect(checksOf(cutOf({ habit: 'half_close' }))).toEqual([halfClosed])
  expect(checksOf(cutOf({ habit: 'half_close' }), runOf({ end: RunEnd.Abandoned }))).toEqual([halfClosed])
  expect(checksOf(cutOf({ habit: 'half_close', wholeAt: undefined }))).toEqual([])
  expect(checksOf(cutOf({ habit: 'half_close' }), runOf({ end: RunEnd.Faulty }))).toEqual([])
  expect(checksOf(cutOf({ habit: 'half_close' }), faultOf('gateway-1', GatewayFault.Restart))).toEqual([])
  expect(checksOf(cutOf({ habit: 'half_close' }), runOf(), faultOf('gateway-1', GatewayFault.Restart))).toEqual([halfClosed])
  expect(checksOf(cutOf({ habit: 'half_close' }), faultOf('gateway-1', GatewayFault.Freeze))).toEqual([halfClosed])
})

test('a caller that ends its own side cancels a begun stream that may be resumed, and nothing else', () => {
  const cut = cutOf({ habit: 'half_close', path: '/query/run?events=3&gap=20', status: 200, answeredBy: 'ledger-1.1', events: ['1'] })
  const abandoned = runOf({ end: RunEnd.Abandoned })
  expect(checksOf(cut, abandoned)).toEqual([])
  expect(checksOf({ ...cut, habit: undefined }, abandoned)).toEqual([lost])
  expect(checksOf({ ...cut, status: undefined, answeredBy: undefined }, abandoned)).toEqual([halfClosed])
  expect(checksOf({ ...cut, path: '/release/run?work=20' }, abandoned)).toEqual([halfClosed])
})

test.each([408, 421, 429, 503])('a request that may run once, ran, and was answered %i is a broken promise', status => {
  expect(checksOf(requestOf({ status, answeredBy: undefined }), runOf())).toEqual([refusedAndRun])
  expect(checksOf(requestOf({ status, answeredBy: undefined }))).toEqual([])
  expect(checksOf(requestOf({ status, answeredBy: undefined }), runOf({ end: RunEnd.NotRun }))).toEqual([])
})

test('a refusal promises nothing of what may run again', () => {
  expect(checksOf(requestOf({ status: 503, path: '/balance/run?work=20', answeredBy: undefined }), runOf())).toEqual([])
})

test('answers of other requests, of no endpoint and on idle connections are mixed up', () => {
  expect(checksOf(requestOf({ answeredRequest: 'c0-0-0-9' }), runOf())).toEqual(['the answer of another request'])
  expect(checksOf(requestOf({ answeredBy: 'ledger-2.1' }), runOf())).toEqual(['a success that no endpoint gave'])
  expect(checksOf(requestOf({ answeredBy: undefined }), runOf())).toEqual(['a success that no endpoint gave'])
  expect(checksOf(requestOf({ request: unaskedRequest, answeredRequest: 'c0-0-0-0' }))).toEqual(['an answer without a request'])
})

test('streams have all events once and in order, from where they go on', () => {
  expect(checksOf(streamOf({ events: ['1', '3'] }), runOf())).toEqual([gap])
  expect(checksOf(streamOf({ events: ['1', '2', '2', '3'] }), runOf())).toEqual([gap])
  expect(checksOf(streamOf({ events: ['1', '2'] }), runOf())).toEqual([gap])
  expect(checksOf(streamOf({ events: ['1', '2', '3'], resumedAfter: '1' }), runOf())).toEqual([gap])
  expect(checksOf(streamOf({ events: ['2', '3'], resumedAfter: '1' }), runOf())).toEqual([])
  expect(checksOf(streamOf({ events: ['1', '2'], end: CallerEnd.Left }), runOf())).toEqual([])
})

test('a request that may run once and runs twice is a finding', () => {
  const again = runOf({ endpoint: 'ledger-2.1', startedAt: startedAt + 50, endedAt: startedAt + 70 })
  expect(checksOf(requestOf(), runOf(), again)).toEqual(['run more than once'])
  expect(checksOf(requestOf(), runOf(), { ...again, end: RunEnd.NotRun })).toEqual([])
  expect(checksOf(requestOf({ path: '/balance/run?work=20' }), runOf(), again)).toEqual([])
})

test('two runs of a request may work side by side for 400 ms, or where the first could not be told to stop', () => {
  const request = requestOf({ path: '/balance/run?work=500', endedAt: startedAt + 1_000 })
  const first = runOf({ endedAt: startedAt + 900, end: RunEnd.Abandoned })
  const second = (at: number) => runOf({ endpoint: 'ledger-2.1', startedAt: startedAt + at, endedAt: startedAt + 1_000 })
  expect(checksOf(request, first, second(499))).toEqual([sideBySide])
  expect(checksOf(request, first, second(500))).toEqual([])
  expect(checksOf(request, first, second(100), faultOf(endpointLink('ledger-1'), LinkFault.Silence))).toEqual([])
  expect(checksOf(request, first, second(100), faultOf('gateway-1', GatewayFault.Freeze))).toEqual([])
})

test('a configuration is in force 2.5 s after its acknowledgement, and until then either may be', () => {
  const changed = (age: number) => configurationOf({ version: 2, sentAt: startedAt - age, acknowledgedAt: startedAt - age, routes: [{ prefix: '/release/', service: 'archive', timeoutMilliseconds: 2_000 }] })
  expect(checksOf(changed(2_500), requestOf(), runOf())).toEqual([wrongSettings])
  expect(checksOf(changed(2_499), requestOf(), runOf())).toEqual([])
  expect(checksOf(changed(2_499), requestOf(), runOf({ service: 'archive' }))).toEqual([])
  expect(checksOf(changed(2_500), requestOf(), runOf({ service: 'archive' }))).toEqual([])
})

test('routes and keys that are there are not refused, and keys that are gone run nothing', () => {
  const refused = { answeredBy: undefined }
  expect(checksOf(requestOf({ status: 404, ...refused }))).toEqual([wrongSettings])
  expect(checksOf(requestOf({ status: 401, ...refused }))).toEqual([wrongSettings])
  expect(checksOf(requestOf({ status: 401, key: 'unknown', ...refused }))).toEqual([])
  expect(checksOf(requestOf({ key: 'unknown' }), runOf())).toEqual([wrongSettings])
})

test('a gateway that was out of touch, or whose store was not stable, may use an older configuration', () => {
  const changed = configurationOf({ version: 2, sentAt: startedAt - 3_000, acknowledgedAt: startedAt - 3_000, keys: [] })
  expect(checksOf(changed, requestOf(), runOf())).toEqual([wrongSettings])
  expect(checksOf(changed, requestOf(), runOf(), faultOf('gateway-1', GatewayFault.Freeze))).toEqual([])
  for (const fault of [PlatformFault.StoreBusy, PlatformFault.StoreSilent, PlatformFault.StoreLosesAnswers]) expect(checksOf(changed, requestOf(), runOf(), faultOf('store', fault))).toEqual([])
  expect(checksOf(changed, requestOf(), runOf(), faultOf('store', PlatformFault.StoreLosesHistory))).toEqual([wrongSettings])
  expect(checksOf(changed, requestOf(), runOf(), faultOf(storeLink('gateway-1'), LinkFault.CutTowardsClient))).toEqual([])
  expect(checksOf(changed, requestOf(), runOf(), faultOf(storeLink('gateway-2'), LinkFault.CutTowardsClient))).toEqual([wrongSettings])
})

test('processes that end by themselves, stop late, fail or grow too large are findings', () => {
  expect(checksOf({ type: 'end', process: 'gateway-1', at: startedAt, code: 1, signal: null })).toEqual(['a process ended by itself'])
  expect(checksOf({ type: 'stop', gateway: 'gateway-1', startedAt, endedAt: startedAt + 6_100, isInTime: false })).toEqual(['a stop that did not end within its grace'])
  expect(checksOf({ type: 'stop', gateway: 'gateway-1', startedAt, endedAt: startedAt + 900, isInTime: true })).toEqual([])
  expect(checksOf({ type: 'failure', at: startedAt, target: 'gateway-1', fault: GatewayFault.Restart, reason: 'not ready' })).toEqual(['a process did not do what it was told'])
  const memoryOf = (bytes: number) => ({ type: 'memory', gateway: 'gateway-1', at: startedAt, bytes }) as const
  expect(checksOf(memoryOf(200), memoryOf(201), memoryOf(202))).toEqual(['more memory than the VM has'])
})
