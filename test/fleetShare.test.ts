import * as fc from 'fast-check'
import { afterEach, expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { FleetDirectory, FleetReports, FleetShare } from '../src/fleet/index.ts'
import { Log } from '../src/observe/index.ts'
import { FakeLinkNetwork } from './fakes/fakeLink.ts'
import { ManualClock } from './fakes/manualClock.ts'

const windowMilliseconds = 10_000
const tickMilliseconds = 500
const windowTicks = windowMilliseconds / tickMilliseconds
const seedCount = 3
/** After this time without a fault each gateway has its part. */
const settlingMilliseconds = 90_000
const rounding = 1e-9
const log = new Log('error', {}, () => undefined)
const dataCentres = ['west', 'east', 'north']

/** A gateway that spends its part of the whole as soon as it may. */
class Spender {
  readonly address: string
  readonly share: FleetShare
  readonly #reports: FleetReports
  readonly #spent: number[] = []

  constructor (clock: ManualClock, network: FakeLinkNetwork, index: number) {
    this.address = `gateway-${index}`
    const seeds = () => [...Array(seedCount).keys()].map(seed => `gateway-${seed}`)
    const place = { region: 'coast', dataCentre: dataCentres[index % dataCentres.length]! }
    const link = network.linkFor({ name: this.address, address: this.address, place, rack: '', incarnation: 1 })
    const directory = new FleetDirectory({ self: { address: this.address, region: 'coast' }, seeds, startedAt: clock.now(), now: () => clock.now() })
    this.share = new FleetShare({ directory, windowMilliseconds })
    this.#reports = new FleetReports({ link, directory, seeds, clock: network.clockFor(this.address), log })
    this.#reports.start()
  }

  /** Spends what the last window leaves of the part. */
  spend (now: number): number {
    const spentBefore = this.#spent.slice(-windowTicks + 1).reduce((sum, part) => sum + part, 0)
    const spent = Math.max(0, this.share.at(now) - spentBefore)
    this.#spent.push(spent)
    return spent
  }

  stop (): void {
    this.#reports.stop()
  }
}

class SpendingFleet {
  readonly clock = new ManualClock()
  readonly network = new FakeLinkNetwork(this.clock, new SeededRandomness(11))
  readonly running = new Map<number, Spender>()
  readonly #spent: number[] = []

  constructor (size: number) {
    for (let index = 0; index < size; index++) this.start(index)
  }

  /** Starts a gateway, or a new process in place of one that runs. */
  start (index: number): void {
    this.running.get(index)?.stop()
    this.running.set(index, new Spender(this.clock, this.network, index))
  }

  stop (index: number): void {
    const spender = this.running.get(index)
    spender?.stop()
    if (spender !== undefined) this.network.remove(spender.address)
    this.running.delete(index)
  }

  async play (milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += tickMilliseconds) {
      await this.clock.advance(tickMilliseconds)
      const now = this.clock.now()
      this.#spent.push([...this.running.values()].reduce((sum, spender) => sum + spender.spend(now), 0))
    }
  }

  /** The most that all gateways spent in a window. */
  get mostSpent (): number {
    return Math.max(...this.#spent.map((_, start) => this.#spent.slice(start, start + windowTicks).reduce((sum, part) => sum + part, 0)))
  }

  get sumOfShares (): number {
    return [...this.running.values()].reduce((sum, { share }) => sum + share.at(this.clock.now()), 0)
  }
}

const fleets: SpendingFleet[] = []
afterEach(() => { for (const fleet of fleets.splice(0)) for (const spender of fleet.running.values()) spender.stop() })

function startFleet (size: number): SpendingFleet {
  const fleet = new SpendingFleet(size)
  fleets.push(fleet)
  return fleet
}

type FleetEvent = (fleet: SpendingFleet) => void

function eventArbitrary (size: number): fc.Arbitrary<FleetEvent> {
  const index = fc.nat(size + 3)
  const pair = fc.constantFrom(['west', 'east'], ['west', 'north'], ['east', 'north']) as fc.Arbitrary<[string, string]>
  return fc.oneof(
    index.map(index => (fleet: SpendingFleet) => fleet.start(index)),
    index.map(index => (fleet: SpendingFleet) => fleet.stop(index)),
    pair.map(([left, right]) => (fleet: SpendingFleet) => fleet.network.partition(left, right)),
    pair.map(([left, right]) => (fleet: SpendingFleet) => fleet.network.heal(left, right)),
    index.map(index => (fleet: SpendingFleet) => fleet.network.freeze(`gateway-${index}`)),
    index.map(index => (fleet: SpendingFleet) => fleet.network.thaw(`gateway-${index}`))
  )
}

test.each([8, 90, 195])('the parts of %i gateways are the whole once all know each other', async size => {
  const fleet = startFleet(size)
  await fleet.play(settlingMilliseconds)
  expect(fleet.sumOfShares).toBeCloseTo(1, 9)
}, 60_000)

test('gateways that are cut off from most seeds for two seconds keep their parts', async () => {
  const fleet = startFleet(8)
  await fleet.play(settlingMilliseconds)
  for (let cut = 0; cut < 24; cut++) {
    for (const other of ['east', 'north']) fleet.network.partition('west', other)
    await fleet.play(2_000)
    for (const other of ['east', 'north']) fleet.network.heal('west', other)
    await fleet.play(25_500)
    expect(fleet.sumOfShares).toBeCloseTo(1, 9)
  }
})

test('a gateway that is replaced time and again does not get its part with every start', async () => {
  const fleet = startFleet(8)
  await fleet.play(settlingMilliseconds)
  for (let replaced = 0; replaced < 40; replaced++) {
    fleet.start(replaced % 8)
    await fleet.play(1_500)
  }
  expect(fleet.mostSpent).toBeLessThanOrEqual(1 + rounding)
})

test.each([8, 30])('%i gateways that start, end, pause and are cut off in any order spend the whole once in a window at most', async size => {
  const stepArbitrary = fc.record({ event: eventArbitrary(size), milliseconds: fc.integer({ min: 1, max: 90 }).map(ticks => ticks * tickMilliseconds) })
  await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, { minLength: 4, maxLength: 16 }), async steps => {
    const fleet = startFleet(size)
    await fleet.play(settlingMilliseconds)
    for (const { event, milliseconds } of steps) {
      event(fleet)
      await fleet.play(milliseconds)
    }
    expect(fleet.mostSpent).toBeLessThanOrEqual(1 + rounding)
  }), { seed: 48, endOnFailure: true, numRuns: size > 10 ? 10 : 40 })
}, 120_000)
