import { expect, test } from 'vitest'
import { type Randomness, SeededRandomness } from '../src/contract/index.ts'
import { settingsLeaseMilliseconds, SettingsLease, type SettingsFollower } from '../src/distribution/index.ts'
import { type Subtree, subtreeSchema } from '../src/settings/index.ts'
import { FollowerFleet } from './fakes/fakeLinkFollowers.ts'

const dataCentres = ['a', 'b', 'c']
const stepMilliseconds = 100
const steps = 600

interface Accepted {
  readonly revision: number
  readonly at: number
}

function subtreeOf (price: number): Subtree {
  return subtreeSchema.parse({ models: { small: { price, versions: { 1: {} } } } })
}

function pick<Item> (items: readonly Item[], randomness: Randomness): Item {
  return items[randomness.below(items.length)] as Item
}

class RandomRun {
  readonly #fleet: FollowerFleet
  readonly #randomness: Randomness
  readonly #accepted: Accepted[] = []
  readonly #highest = new Map<SettingsFollower, number>()
  checks = 0

  constructor (seed: number) {
    this.#fleet = new FollowerFleet(seed, { a: 4, b: 3, c: 2 })
    this.#fleet.network.conditions.loss = () => 0.05
    this.#randomness = new SeededRandomness(seed * 7 + 1)
  }

  async run (): Promise<void> {
    await this.#change()
    this.#fleet.startAll()
    for (let step = 0; step < steps; step++) {
      await this.#disturb()
      await this.#fleet.clock.advance(stepMilliseconds)
      this.#check()
    }
    await this.#mend()
  }

  async #disturb (): Promise<void> {
    const name = pick(this.#fleet.identities, this.#randomness).name
    const dataCentre = pick(dataCentres, this.#randomness)
    const other = pick(dataCentres.filter(candidate => candidate !== dataCentre), this.#randomness)
    const draw = this.#randomness.fraction()
    if (draw < 0.08) await this.#change()
    else if (draw < 0.12) this.#fleet.network.cut(dataCentre, other)
    else if (draw < 0.18) this.#fleet.network.heal(dataCentre, other)
    else if (draw < 0.22) this.#fleet.withoutStore.add(dataCentre)
    else if (draw < 0.28) this.#fleet.withoutStore.delete(dataCentre)
    else if (draw < 0.31) this.#fleet.network.freeze(name)
    else if (draw < 0.37) this.#fleet.network.thaw(name)
    else if (draw < 0.39) this.#restart(name)
  }

  async #change (): Promise<void> {
    const expected = this.#accepted.at(-1)?.revision ?? 0
    const accepted = await this.#fleet.repository.put('fleet', subtreeOf(expected + 1), { expected, author: 'ines' })
    this.#accepted.push({ revision: accepted.unwrap(), at: this.#fleet.clock.now() })
  }

  #restart (name: string): void {
    this.#fleet.network.thaw(name)
    this.#fleet.follower(name).stop()
    this.#fleet.start(name)
  }

  /** A change is in force a lease's time after its acceptance, and no daemon goes back. */
  #check (): void {
    const due = this.#accepted.filter(change => this.#fleet.clock.now() - change.at >= settingsLeaseMilliseconds).at(-1)?.revision ?? 0
    for (const [name, follower] of this.#fleet.followers) {
      const { revision } = follower.view
      expect(revision, `${name} went back`).toBeGreaterThanOrEqual(this.#highest.get(follower) ?? 0)
      this.#highest.set(follower, revision)
      const isInForce = revision >= due || follower.lease === SettingsLease.Lapsed
      expect(isInForce, `${name} holds a lease on revision ${revision} although ${due} is due`).toBe(true)
      this.checks += 1
    }
  }

  async #mend (): Promise<void> {
    for (const dataCentre of dataCentres) {
      this.#fleet.withoutStore.delete(dataCentre)
      for (const other of dataCentres) this.#fleet.network.heal(dataCentre, other)
    }
    for (const identity of this.#fleet.identities) this.#fleet.network.thaw(identity.name)
    await this.#fleet.clock.advance(6_000)
    expect(new Set(this.#fleet.revisions())).toEqual(new Set([this.#accepted.at(-1)?.revision]))
    await this.#fleet.stopAll()
  }
}

test.each([11, 12, 13, 14, 15, 16])('under random faults a change is in force when its lease time is over, seed %d', async seed => {
  const run = new RandomRun(seed)
  await run.run()
  expect(run.checks).toBe(steps * 9)
})
