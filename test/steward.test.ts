import { expect, test } from 'vitest'
import { RollOutVerdict, type RollOutGuard } from '../src/choice/index.ts'
import { EndpointKind, Ok, Err, SeededRandomness } from '../src/contract/index.ts'
import { TableSettingsRepository } from '../src/distribution/index.ts'
import { AttemptFailure, type EngineClient, type EngineOrder, DeliveryState } from '../src/endpoint/index.ts'
import { RollOutMonitor } from '../src/entry/index.ts'
import { type EndpointStatus, type Membership, MemberState, type MemberView } from '../src/membership/index.ts'
import { Log, Metrics } from '../src/observe/index.ts'
import { RollOutState, SettingsView, type Subtree, subtreeSchema } from '../src/settings/index.ts'
import { Steward, StewardLease } from '../src/steward/index.ts'
import { MutableSettingsSource } from './fakes/entryWorld.ts'
import { FaultyTableService, TableFault } from './fakes/faultyTableService.ts'
import { ManualClock } from './fakes/manualClock.ts'

const leaseMilliseconds = 8_000

function createLease (clock: ManualClock, table: FaultyTableService, holder: string): StewardLease {
  return new StewardLease({ table, clock, name: 'steward/lower-mainland-a', holder, durationMilliseconds: leaseMilliseconds })
}

function fleetSettings (share = 0.05): Subtree {
  return subtreeSchema.parse({
    data_centres: { 'lower-mainland-a': { region: 'lower-mainland' } },
    models: { small: { price: 1, versions: { 1: {}, 2: { state: 'candidate' } }, roll_out: { from: '1', to: '2', share, steps: [0.05, 0.5, 1] } } },
    endpoints: { 'engine-1': { address: '127.0.0.1:9001', data_centre: 'lower-mainland-a', versions: ['small@1', 'small@2'], checks_fencing: false } }
  })
}

/** Creates stewards over settings in a table, with an engine client that records the orders. */
class StewardHarness {
  readonly clock = new ManualClock()
  readonly table = new FaultyTableService(this.clock)
  readonly orders: Array<EngineOrder & { readonly at: number }> = []
  readonly loadedVersions = new Set(['small@1'])
  readonly repository = new TableSettingsRepository({ table: this.table, clock: this.clock, randomness: new SeededRandomness(1) })
  verdict: RollOutVerdict = RollOutVerdict.Continue
  /** Settles before the reply to an order. */
  orderReply = Promise.resolve()
  readonly logged: string[] = []
  members: MemberView[] = []

  createSteward (holder: string): { readonly steward: Steward, readonly settings: MutableSettingsSource, readonly lease: StewardLease } {
    const settings = new MutableSettingsSource()
    const lease = createLease(this.clock, this.table, holder)
    const guard: RollOutGuard = { observeTime: () => {}, observe: () => {}, verdict: () => this.verdict }
    const steward = new Steward({
      clock: this.clock,
      randomness: new SeededRandomness(2),
      lease,
      settings,
      repository: this.repository,
      membership: this.#membership(),
      engines: this.#engines(),
      rollOuts: new RollOutMonitor(settings, () => guard),
      metrics: new Metrics(),
      log: new Log('info', {}, line => this.logged.push((JSON.parse(line) as { event: string }).event)),
      name: holder,
      dataCentre: 'lower-mainland-a'
    })
    return { steward, settings, lease }
  }

  /** Installs the stored settings at one daemon. */
  async installSettings (settings: MutableSettingsSource): Promise<void> {
    const { revision, subtree } = (await this.repository.read('fleet')).unwrap()
    settings.view = SettingsView.of(revision, new Map([['fleet', subtree ?? fleetSettings()]])).unwrap()
  }

  async readRollOut (): Promise<Subtree['models'][string]['roll_out']> {
    return (await this.repository.read('fleet')).unwrap().subtree?.models.small?.roll_out
  }

  #membership (): Membership {
    const endpointStatus = (): EndpointStatus => ({
      name: 'engine-1',
      healthy: true,
      leaving: false,
      reportedAt: this.clock.now(),
      report: { at: this.clock.now(), incarnation: 1, versions: [...this.loadedVersions] as never, running: 0, queued: 0, queuedPromptTokens: 0, streamLimit: 32, prefillTokensPerSecond: 1_000, betweenTokensMilliseconds: 10, leaving: false }
    })
    return { members: () => this.members, endpointStatus, markEndpointLeaving: () => {} }
  }

  #engines (): EngineClient {
    return {
      generate: () => { throw new Error('unexpected call of generate') },
      report: async () => Err(new AttemptFailure(DeliveryState.NotSent, 'load reports are not part of this fake')),
      order: async (endpoint, order) => {
        expect(endpoint.kind).toBe(EndpointKind.Engine)
        this.orders.push({ ...order, at: this.clock.now() })
        await this.orderReply
        this.loadedVersions.add(order.version)
        return Ok(undefined)
      }
    }
  }
}

test('one of two contenders holds the lease, and the other acquires it with a higher fencing number once it has expired', async () => {
  const clock = new ManualClock()
  const table = new FaultyTableService(clock)
  const [first, second] = [createLease(clock, table, 'entry-1'), createLease(clock, table, 'entry-2')]
  expect((await first.renewOrAcquire()).unwrap()?.fencing).toBe(1)
  expect((await second.renewOrAcquire()).unwrap()).toBeUndefined()
  await clock.advance(leaseMilliseconds + 1)
  expect(first.held).toBeUndefined()
  expect((await second.renewOrAcquire()).unwrap()?.fencing).toBe(2)
})

test('a holder stops regarding the lease as its own before another can acquire it, however late its renewal took effect', async () => {
  const clock = new ManualClock()
  const table = new FaultyTableService(clock)
  const [first, second] = [createLease(clock, table, 'entry-1'), createLease(clock, table, 'entry-2')]
  table.script = call => ({ fault: TableFault.None, requestDelayMilliseconds: call.kind === 'transact' ? 3_000 : 0 })
  const acquisition = first.renewOrAcquire()
  await clock.advance(3_000)
  await acquisition
  table.script = () => ({ fault: TableFault.None })
  for (let tick = 0; tick < 20; tick++) {
    await second.renewOrAcquire()
    expect([first.held, second.held].filter(held => held !== undefined).length).toBeLessThan(2)
    await clock.advance(500)
  }
  expect(second.held?.fencing).toBe(2)
})

test('a renewal whose reply is lost does not extend the lease for its holder', async () => {
  const clock = new ManualClock()
  const table = new FaultyTableService(clock)
  const lease = createLease(clock, table, 'entry-1')
  await lease.renewOrAcquire()
  await clock.advance(4_000)
  table.script = call => ({ fault: call.kind === 'transact' ? TableFault.ReplyLost : TableFault.None })
  await lease.renewOrAcquire()
  await clock.advance(4_000)
  expect(lease.held).toBeUndefined()
})

test('a released lease is free at once', async () => {
  const clock = new ManualClock()
  const table = new FaultyTableService(clock)
  const [first, second] = [createLease(clock, table, 'entry-1'), createLease(clock, table, 'entry-2')]
  await first.renewOrAcquire()
  await first.release()
  expect((await second.renewOrAcquire()).unwrap()?.fencing).toBe(2)
})

test('a steward loads versions that the settings list and an engine lacks, once the previous holder\'s orders are over', async () => {
  const harness = new StewardHarness()
  const { steward, settings } = harness.createSteward('entry-1')
  settings.view = SettingsView.of(1, new Map([['fleet', fleetSettings()]])).unwrap()
  const startedAt = harness.clock.now()
  steward.start()
  await harness.clock.advance(10_000)
  expect(harness.orders.map(({ action, version, fencing }) => ({ action, version, fencing }))).toEqual([{ action: 'load', version: 'small@2', fencing: 1 }])
  expect(harness.orders[0]?.at).toBeGreaterThan(startedAt + 2_000)
  const stopped = steward.stop()
  await harness.clock.advance(2_000)
  await stopped
})

test('an order whose reply arrived during a stall of the event loop does not count as failed', async () => {
  const harness = new StewardHarness()
  let arrive: () => void = () => undefined
  harness.orderReply = new Promise(resolve => { arrive = resolve })
  const { steward, settings } = harness.createSteward('entry-1')
  settings.view = SettingsView.of(1, new Map([['fleet', fleetSettings()]])).unwrap()
  steward.start()
  while (harness.orders.length === 0) await harness.clock.advance(100)
  await harness.clock.stall(2_500, arrive)
  await harness.clock.advance(3_000)
  expect(harness.logged.filter(event => event.startsWith('engine_order'))).toEqual(['engine_order_given'])
  const stopped = steward.stop()
  await harness.clock.advance(2_000)
  await stopped
})

test('a steward whose lease expired while the store was unavailable gives no more orders', async () => {
  const harness = new StewardHarness()
  const { steward, settings } = harness.createSteward('entry-1')
  settings.view = SettingsView.of(1, new Map([['fleet', fleetSettings()]])).unwrap()
  steward.start()
  await harness.clock.advance(1_000)
  harness.table.script = () => ({ fault: TableFault.Down })
  await harness.clock.advance(60_000)
  const lateOrders = harness.orders.filter(order => order.at > 1_000_000 + 1_000 + leaseMilliseconds)
  expect(lateOrders).toEqual([])
  const stopped = steward.stop()
  await harness.clock.advance(2_000)
  await stopped
})

test('a roll-out whose steward stopped is continued by another steward, each step once', async () => {
  const harness = new StewardHarness()
  ;(await harness.repository.put('fleet', fleetSettings(), { expected: 0, author: 'ines' })).unwrap()
  harness.verdict = RollOutVerdict.Advance
  const first = harness.createSteward('entry-1')
  await harness.installSettings(first.settings)
  first.steward.start()
  await harness.clock.advance(3_000)
  expect((await harness.readRollOut())?.share).toBe(0.5)
  const stopped = first.steward.stop()
  await harness.clock.advance(2_000)
  await stopped
  const second = harness.createSteward('entry-2')
  await harness.installSettings(second.settings)
  second.steward.start()
  await harness.clock.advance(3_000)
  expect((await harness.readRollOut())?.share).toBe(1)
  await harness.installSettings(second.settings)
  await harness.clock.advance(3_000)
  expect((await harness.readRollOut())?.state).toBe(RollOutState.Done)
  const secondStopped = second.steward.stop()
  await harness.clock.advance(2_000)
  await secondStopped
})

test('a daemon that detects a bad version stops it at once and stores the halt without holding the lease', async () => {
  const harness = new StewardHarness()
  ;(await harness.repository.put('fleet', fleetSettings(), { expected: 0, author: 'ines' })).unwrap()
  await harness.createSteward('entry-1').lease.renewOrAcquire()
  const other = harness.createSteward('entry-2')
  await harness.installSettings(other.settings)
  harness.verdict = RollOutVerdict.Halt
  other.steward.start()
  await harness.clock.advance(2_500)
  expect(other.lease.held).toBeUndefined()
  expect((await harness.readRollOut())?.state).toBe(RollOutState.Halted)
  const stopped = other.steward.stop()
  await harness.clock.advance(2_000)
  await stopped
})

test('only three of many daemons in a data centre read the lease', async () => {
  const harness = new StewardHarness()
  const names = Array.from({ length: 20 }, (_, number) => `entry-${number}`)
  harness.members = names.map(name => ({ name, address: '127.0.0.1:1', place: { region: 'lower-mainland', dataCentre: 'lower-mainland-a' }, rack: name, incarnation: 1, state: MemberState.Alive }))
  const stewards = names.map(name => harness.createSteward(name))
  let leaseReads = 0
  harness.table.script = call => {
    if (call.kind === 'read' && call.table === 'leases') leaseReads++
    return { fault: TableFault.None }
  }
  for (const { steward } of stewards) steward.start()
  await harness.clock.advance(10_000)
  expect(stewards.filter(({ lease }) => lease.held !== undefined)).toHaveLength(1)
  expect(leaseReads).toBeLessThanOrEqual(3 * 10 / 0.75 + 3)
  const stopped = Promise.all(stewards.map(({ steward }) => steward.stop()))
  await harness.clock.advance(2_000)
  await stopped
})
