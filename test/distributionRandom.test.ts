import { expect, test } from 'vitest'
import { type Randomness, SeededRandomness } from '../src/contract/index.ts'
import { settingsLeaseMilliseconds, SettingsLease, type SettingsFollower } from '../src/distribution/index.ts'
import { type Subtree, subtreeSchema } from '../src/settings/index.ts'
import { FollowerFleet } from './fakes/fakeLinkFollowers.ts'

const dataCentres = ['a', 'b', 'c']
const stepMilliseconds = 100
const stepCount = 600

interface AcceptedChange {
  readonly revision: number
  readonly at: number
}

function subtreeOf (price: number): Subtree {
  return subtreeSchema.parse({ models: { small: { price, versions: { 1: {} } } } })
}

function pickRandom<Item> (items: readonly Item[], randomness: Randomness): Item {
  return items[randomness.integerBelow(items.length)] as Item
}

class RandomFaultRun {
  readonly #fleet: FollowerFleet
  readonly #randomness: Randomness
  readonly #acceptedChanges: AcceptedChange[] = []
  readonly #highestRevisions = new Map<SettingsFollower, number>()
  checkCount = 0

  constructor (seed: number) {
    this.#fleet = new FollowerFleet(seed, { a: 4, b: 3, c: 2 })
    this.#fleet.network.conditions.lossRate = () => 0.05
    this.#randomness = new SeededRandomness(seed * 7 + 1)
  }

  async run (): Promise<void> {
    await this.#putChange()
    this.#fleet.startAll()
    for (let step = 0; step < stepCount; step++) {
      await this.#injectRandomFault()
      await this.#fleet.clock.advance(stepMilliseconds)
      this.#checkInvariants()
    }
    await this.#healAndConverge()
  }

  async #injectRandomFault (): Promise<void> {
    const name = pickRandom(this.#fleet.identities, this.#randomness).name
    const dataCentre = pickRandom(dataCentres, this.#randomness)
    const other = pickRandom(dataCentres.filter(candidate => candidate !== dataCentre), this.#randomness)
    const draw = this.#randomness.fraction()
    if (draw < 0.08) await this.#putChange()
    else if (draw < 0.12) this.#fleet.network.partition(dataCentre, other)
    else if (draw < 0.18) this.#fleet.network.heal(dataCentre, other)
    else if (draw < 0.22) this.#fleet.withoutStoreAccess.add(dataCentre)
    else if (draw < 0.28) this.#fleet.withoutStoreAccess.delete(dataCentre)
    else if (draw < 0.31) this.#fleet.network.freeze(name)
    else if (draw < 0.37) this.#fleet.network.thaw(name)
    else if (draw < 0.39) this.#restart(name)
  }

  async #putChange (): Promise<void> {
    const expected = this.#acceptedChanges.at(-1)?.revision ?? 0
    const accepted = await this.#fleet.repository.put('fleet', subtreeOf(expected + 1), { expected, author: 'ines' })
    this.#acceptedChanges.push({ revision: accepted.unwrap(), at: this.#fleet.clock.now() })
  }

  #restart (name: string): void {
    this.#fleet.network.thaw(name)
    this.#fleet.follower(name).stop()
    this.#fleet.start(name)
  }

  /** One lease duration after its acceptance a change is applied at every daemon that holds a lease, and no daemon reverts. */
  #checkInvariants (): void {
    const dueRevision = this.#acceptedChanges.filter(change => this.#fleet.clock.now() - change.at >= settingsLeaseMilliseconds).at(-1)?.revision ?? 0
    for (const [name, follower] of this.#fleet.followers) {
      const { revision } = follower.view
      expect(revision, `${name} reverted to a lower revision`).toBeGreaterThanOrEqual(this.#highestRevisions.get(follower) ?? 0)
      this.#highestRevisions.set(follower, revision)
      const isInForce = revision >= dueRevision || follower.lease === SettingsLease.Lapsed
      expect(isInForce, `${name} holds a lease on revision ${revision} although ${dueRevision} is due`).toBe(true)
      this.checkCount += 1
    }
  }

  async #healAndConverge (): Promise<void> {
    for (const dataCentre of dataCentres) {
      this.#fleet.withoutStoreAccess.delete(dataCentre)
      for (const other of dataCentres) this.#fleet.network.heal(dataCentre, other)
    }
    for (const identity of this.#fleet.identities) this.#fleet.network.thaw(identity.name)
    await this.#fleet.clock.advance(6_000)
    expect(new Set(this.#fleet.revisions())).toEqual(new Set([this.#acceptedChanges.at(-1)?.revision]))
    await this.#fleet.stopAll()
  }
}

test.each([11, 12, 13, 14, 15, 16])('under random faults a change is in force one lease duration after its acceptance, seed %d', async seed => {
  const run = new RandomFaultRun(seed)
  await run.run()
  expect(run.checkCount).toBe(stepCount * 9)
})
