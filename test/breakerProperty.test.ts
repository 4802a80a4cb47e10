import fastCheck from 'fast-check'
import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { PromptBreaker, type SharedPrompt, type SuspectRun } from '../src/breaker/index.ts'

const gatewayCount = 5
const poisonPrompt: SharedPrompt = { organisation: 'harbour', parts: ['system-of-harbour', 'poison'] }
const organisations = ['harbour', 'guides', 'traders']
/** After this time crashes are judged. */
const settlingMilliseconds = 1_000
const crashBound = 5

/** What happens next. */
const step = fastCheck.constantFrom('poison', 'poison', 'sound', 'sound', 'sound', 'other crash', 'message', 'message', 'repeat')

/** Gateways whose requests, crashes and messages come in a random order. */
class RandomFleet {
  readonly #randomness: SeededRandomness
  readonly #blockedParts = new Set<string>()
  readonly breakers: readonly PromptBreaker[]
  now = 1_000
  poisonCrashes = 0
  #instances = 0
  #subjects = 0
  #previousMessage: (() => void) | undefined

  constructor (seed: number) {
    this.#randomness = new SeededRandomness(seed)
    this.breakers = Array.from({ length: gatewayCount }, (_, index) => new PromptBreaker({
      name: `gateway-${index}`,
      onChange: ({ type, block }) => { if (type === 'blocked') this.#blockedParts.add(`${block.organisation} ${block.part}`) }
    }))
    // Every gateway has answered some prompt of every organisation before the first crash.
    for (const breaker of this.breakers) for (const organisation of organisations) breaker.recordAnswer(this.#soundPrompt(organisation), this.now)
  }

  /** Parts that any gateway blocked at any time. */
  get blockedParts (): ReadonlySet<string> {
    return this.#blockedParts
  }

  take (next: string): void {
    this.now += 20 + this.#randomness.integerBelow(150)
    if (next === 'poison') this.#sendPoison()
    if (next === 'sound') this.#pick(this.breakers).recordAnswer(this.#soundPrompt(this.#pick(organisations)), this.now)
    if (next === 'other crash') this.#crash(this.now, this.#runsBeside(this.now))
    if (next === 'message') this.#exchange(this.#pick(this.breakers), this.#pick(this.breakers))
    if (next === 'repeat') this.#previousMessage?.()
  }

  spread (): void {
    for (let round = 0; round < 2; round++) for (const left of this.breakers) for (const right of this.breakers) this.#exchange(left, right)
  }

  #sendPoison (): void {
    const gateway = this.#randomness.integerBelow(gatewayCount)
    if (this.breakers[gateway]!.admit(poisonPrompt, this.now).err) return
    const crashedAt = this.now + 100
    this.#crash(crashedAt, [...this.#runsBeside(this.now), [gateway, { prompt: poisonPrompt, begunAt: this.now + 30 }]])
    this.now = crashedAt
    this.poisonCrashes++
  }

  /** Runs of sound prompts that have begun at an endpoint, some just now, at random gateways. */
  #runsBeside (at: number): Array<readonly [number, SuspectRun]> {
    const count = this.#randomness.integerBelow(4)
    return Array.from({ length: count }, () => [this.#randomness.integerBelow(gatewayCount), {
      prompt: this.#soundPrompt(this.#pick(organisations)), begunAt: at - this.#randomness.integerBelow(1_500) + 60
    }])
  }

  #crash (at: number, runs: ReadonlyArray<readonly [number, SuspectRun]>): void {
    const instance = `engine-${this.#instances++}`
    for (const [index, breaker] of this.breakers.entries()) {
      const own = runs.filter(([gateway]) => gateway === index).map(([, run]) => run)
      if (own.length > 0) breaker.recordCrash({ instance, reporter: `gateway-${index}`, crashedAt: at, runs: own }, at)
    }
  }

  /** Half of the sound prompts have a subject of their own behind their organisation's system prompt. */
  #soundPrompt (organisation: string): SharedPrompt {
    const system = `system-of-${organisation}`
    return { organisation, parts: this.#randomness.fraction() < 0.5 ? [system] : [system, `subject-${this.#subjects++}`] }
  }

  #exchange (from: PromptBreaker, to: PromptBreaker): void {
    const [news, sentAt] = [from.news(this.now), this.now]
    to.merge(news, sentAt)
    this.#previousMessage = () => { to.merge(news, this.now) }
  }

  #pick <Item>(items: readonly Item[]): Item {
    return items[this.#randomness.integerBelow(items.length)]!
  }
}

test('whatever the order of crashes, answers and messages, only the part that crashes endpoints is blocked, and at every gateway that has heard', () => {
  fastCheck.assert(fastCheck.property(fastCheck.integer({ min: 1, max: 2 ** 30 }), fastCheck.array(step, { minLength: 20, maxLength: 120 }), (seed, steps) => {
    const fleet = new RandomFleet(seed)
    for (const next of steps) fleet.take(next)
    while (fleet.poisonCrashes < crashBound) {
      const before = fleet.poisonCrashes
      fleet.take('poison')
      fleet.take('message')
      if (fleet.poisonCrashes === before) break
    }
    fleet.spread()
    fleet.now += settlingMilliseconds
    const verdicts = fleet.breakers.map(breaker => breaker.admit(poisonPrompt, fleet.now).err)
    expect([...fleet.blockedParts].filter(part => part !== 'harbour poison')).toEqual([])
    expect(verdicts).toEqual(verdicts.map(() => true))
    for (const organisation of organisations) expect(fleet.breakers.every(breaker => breaker.admit({ organisation, parts: [`system-of-${organisation}`] }, fleet.now).ok)).toBe(true)
  }), { seed: 20261204, numRuns: 300 })
})
