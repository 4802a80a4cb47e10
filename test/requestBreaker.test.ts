import fastCheck from 'fast-check'
import { expect, test } from 'vitest'
import { PromptBreaker, type SharedPrompt, type SuspectRequest } from '../src/breaker/index.ts'
import { SeededRandomness } from '../src/contract/index.ts'

const kill: SharedPrompt = { organisation: 'harbour', parts: [], request: 'kill' }
const sound: SharedPrompt = { organisation: 'harbour', parts: [], request: 'sound' }
/** Time after which a crash is judged. */
const settled = 1_000
const gatewayCount = 4
/** Crashes after which a request is blocked, whatever lay beside it. */
const crashBound = 5

const suspect = ({ organisation, request }: SharedPrompt, sentAt: number): SuspectRequest => ({ organisation, request: request!, sentAt })

function createBreaker (name = 'gateway-1') {
  const blocked: string[] = []
  const breaker = new PromptBreaker({ name, onChange: ({ type, block }) => { if (type === 'blocked') blocked.push(block.part) } })
  let crashes = 0
  const crash = (at: number, ...requests: SuspectRequest[]) => breaker.recordCrash({ instance: `${name}-endpoint-${crashes++}`, reporter: name, crashedAt: at, runs: [], requests }, at)
  return { breaker, blocked, crash }
}

test('a request that lay unanswered at three crashes in sequence is blocked at its caller, and nothing else', () => {
  const { breaker, crash } = createBreaker()
  for (const at of [100, 400, 700]) crash(at, suspect(kill, at - 60))
  expect(breaker.admit(kill, 700 + settled).err).toBe(true)
  expect(breaker.admit(sound, 700 + settled).ok).toBe(true)
  expect(breaker.admit({ ...kill, organisation: 'guides' }, 700 + settled).ok).toBe(true)
})

test('a sound request that lay at the same crashes is told apart by its answer elsewhere, also if that is told late', () => {
  const [here, there] = [createBreaker('gateway-1'), createBreaker('gateway-2')]
  for (const at of [100, 400, 700]) here.crash(at, suspect(kill, at - 60), suspect(sound, at - 30))
  there.breaker.merge(here.breaker.news(800), 800)
  expect(there.breaker.recordAnswer(sound, 1_200)).toBe(true)
  here.breaker.merge(there.breaker.news(1_300), 1_300)
  expect(here.breaker.admit(kill, 1_400).err).toBe(true)
  expect(here.breaker.admit(sound, 1_400).ok).toBe(true)
})

test('requests that can not be told apart are blocked together only after more crashes', () => {
  const { breaker, crash } = createBreaker()
  for (const at of [100, 400, 700]) crash(at, suspect(kill, at - 60), suspect(sound, at - 30))
  expect(breaker.admit(sound, 700 + settled).ok).toBe(true)
  for (const at of [2_100, 2_400]) crash(at, suspect(kill, at - 60), suspect(sound, at - 30))
  expect(breaker.admit(sound, 2_400 + settled).err).toBe(true)
  expect(breaker.admit(kill, 2_400 + settled).err).toBe(true)
})

test('a request that was answered before it began to crash endpoints is blocked as soon as any other', () => {
  const { breaker, crash } = createBreaker()
  breaker.recordAnswer(kill, 0)
  for (const at of [100, 400, 700]) crash(at, suspect(kill, at - 60))
  expect(breaker.admit(kill, 700 + settled).err).toBe(true)
})

test('a request in flight at all endpoints of a rack that end together is not blocked', () => {
  const { breaker, crash } = createBreaker()
  for (let index = 0; index < 8; index++) crash(1_000 + index * 10, suspect(sound, 900))
  expect(breaker.admit(sound, 1_080 + settled).ok).toBe(true)
})

test('a request that was sent to all endpoints of a rack shortly before they ended one after the other is not blocked', () => {
  const { breaker, crash } = createBreaker()
  for (let index = 0; index < 8; index++) crash(1_000 + index * 10, suspect(sound, 980))
  expect(breaker.mayRepeat(sound)).toBe(true)
  expect(breaker.admit(sound, 1_080 + settled).ok).toBe(true)
})

test('a request is held back while its third crash is not judged yet, rather than crash a fourth endpoint', () => {
  const { breaker, crash } = createBreaker()
  for (const at of [100, 200]) crash(at, suspect(kill, at - 60))
  expect(breaker.admit(kill, 210).ok).toBe(true)
  crash(300, suspect(kill, 240))
  const held = breaker.admit(kill, 310)
  expect(held.err && held.val.retryAfterMilliseconds).toBeLessThan(500)
})

test('a request whose repeats crashed two endpoints is not sent twice', () => {
  const { breaker, crash } = createBreaker()
  expect(breaker.mayRepeat(kill)).toBe(true)
  for (const at of [100, 400]) crash(at, suspect(kill, at - 60))
  expect(breaker.mayRepeat(kill)).toBe(false)
  expect(breaker.mayRepeat(sound)).toBe(true)
})

test('requests that differ and crash endpoints through a part that they share do not hide that part', () => {
  const { breaker, blocked } = createBreaker()
  const prompt = (request: string): SharedPrompt => ({ organisation: 'harbour', parts: ['poison'], request })
  const crashUnder = (at: number, request: string) => breaker.recordCrash({ instance: `engine-${at}`, reporter: 'gateway-1', crashedAt: at, runs: [{ prompt: { organisation: 'harbour', parts: ['poison'] }, begunAt: at - 40 }], requests: [suspect(prompt(request), at - 60)] }, at)
  for (const at of [100, 400, 700]) crashUnder(at, 'first')
  expect(breaker.admit(prompt('first'), 1_700).err).toBe(true)
  expect(breaker.admit(prompt('second'), 1_700).ok).toBe(true)
  crashUnder(2_000, 'second')
  expect(breaker.admit(prompt('third'), 3_000).err).toBe(true)
  expect(blocked).toContain('poison')
})

test('a prompt part that crashes engines before their first token is blocked, although each request with it is another', () => {
  const { breaker, blocked } = createBreaker()
  const prompt = (request: string): SharedPrompt => ({ organisation: 'harbour', parts: ['system', 'poison'], request })
  breaker.recordAnswer({ organisation: 'harbour', parts: ['system'], request: 'other' }, 0)
  for (let index = 0; index < crashBound; index++) {
    const at = 100 + 300 * index
    const beside = { organisation: 'harbour', request: `beside-${index}`, sentAt: at - 20, parts: ['system'] }
    breaker.recordCrash({ instance: `engine-${index}`, reporter: 'gateway-1', crashedAt: at, runs: [], requests: [{ ...suspect(prompt(`request-${index}`), at - 60), parts: ['system', 'poison'] }, beside] }, at)
  }
  expect(breaker.admit(prompt('next'), 2_500).err).toBe(true)
  expect(breaker.admit({ organisation: 'harbour', parts: ['system'], request: 'other' }, 2_500).ok).toBe(true)
  expect(blocked).toEqual(['poison'])
})

test('a prompt part under which three runs had just begun is blocked, although one of its prompts also waited at a crash', () => {
  const { breaker, blocked } = createBreaker()
  const poison = { organisation: 'harbour', parts: ['poison'] }
  breaker.recordCrash({ instance: 'engine-0', reporter: 'gateway-1', crashedAt: 100, runs: [], requests: [{ organisation: 'harbour', request: 'first', sentAt: 40, parts: ['poison'] }] }, 100)
  for (const at of [400, 700, 1_000]) breaker.recordCrash({ instance: `engine-${at}`, reporter: 'gateway-1', crashedAt: at, runs: [{ prompt: poison, begunAt: at - 40 }], requests: [] }, at)
  expect(breaker.admit(poison, 1_000 + settled).err).toBe(true)
  expect(blocked).toEqual(['poison'])
})

test('a crash counts once for a request that several gateways had sent, although one of them dates it before another sent its own', () => {
  const { breaker } = createBreaker()
  const report = (reporter: string, instance: string, at: number) => breaker.recordCrash({ instance, reporter, crashedAt: at, runs: [], requests: [suspect(sound, at - 60)] }, at)
  for (const [index, reporter] of ['gateway-1', 'gateway-2', 'gateway-3'].entries()) report(reporter, 'endpoint-1', 1_000 + index * 70)
  expect(breaker.mayRepeat(sound)).toBe(true)
  expect(breaker.admit(sound, 1_140 + settled).ok).toBe(true)
})

test('an endpoint without incarnations counts once for each time that it crashes, whoever reports it', () => {
  const { breaker } = createBreaker()
  const report = (reporter: string, at: number, recurrence: number) => breaker.recordCrash({ instance: 'ledger@0', reporter, crashedAt: at, runs: [], requests: [suspect(kill, at - 50)], recurrence }, at)
  for (const reporter of ['gateway-1', 'gateway-2', 'gateway-3']) report(reporter, 100, 0)
  expect(breaker.admit(kill, 100 + settled).ok).toBe(true)
  for (const [index, at] of [1_400, 1_800].entries()) report('gateway-2', at, index + 1)
  expect(breaker.admit(kill, 1_800 + settled).err).toBe(true)
})

test('state stays bounded under ever new requests', () => {
  const { breaker, crash } = createBreaker()
  for (let index = 0; index < 20_000; index++) {
    const [at, request] = [index * 10, { organisation: 'harbour', parts: [], request: `request-${index}` }]
    if (index % 2 === 0) breaker.recordAnswer(request, at)
    else crash(at, suspect(request, at - 5))
  }
  const { reports, answers, blocks } = breaker.news(200_000)
  expect([reports.length <= 64, answers.length <= 64, blocks.length]).toEqual([true, true, 0])
})

const requestNames = Array.from({ length: 12 }, (_, index) => `sound-${index}`)

/** Gateways whose endpoints crash under one request, and for other reasons, while sound requests lie there and are answered elsewhere. */
class RandomCrashes {
  readonly #randomness: SeededRandomness
  readonly breakers: readonly PromptBreaker[]
  now = 1_000
  killCrashes = 0
  #instances = 0

  constructor (seed: number) {
    this.#randomness = new SeededRandomness(seed)
    this.breakers = Array.from({ length: gatewayCount }, (_, index) => new PromptBreaker({ name: `gateway-${index}` }))
  }

  /** An endpoint crashes; the sound requests there are answered soon afterwards at another one. */
  crash (isKill: boolean): void {
    const at = this.now += 150 + this.#randomness.integerBelow(400)
    const beside = requestNames.filter(() => this.#randomness.fraction() < 0.4).map(request => suspect({ ...sound, request }, at - 1 - this.#randomness.integerBelow(140)))
    const requests = isKill && this.breakers[0]!.admit(kill, at - 100).ok ? [suspect(kill, at - 100), ...beside] : beside
    if (requests.length > beside.length) this.killCrashes++
    const instance = `endpoint-${this.#instances++}`
    for (const [index, breaker] of this.breakers.entries()) {
      const own = requests.filter((_, position) => position % gatewayCount === index)
      if (own.length > 0) breaker.recordCrash({ instance, reporter: `gateway-${index}`, crashedAt: at, runs: [], requests: own }, at)
    }
    for (const { request } of beside) this.#pick().recordAnswer({ ...sound, request }, at + this.#randomness.integerBelow(60))
    this.now = at + 60
    this.spread()
  }

  spread (): void {
    for (let round = 0; round < 2; round++) for (const left of this.breakers) for (const right of this.breakers) right.merge(left.news(this.now), this.now)
  }

  #pick (): PromptBreaker {
    return this.breakers[this.#randomness.integerBelow(gatewayCount)]!
  }
}

test('over random crashes, a request that kills is blocked within its bound, and one that is answered anywhere is never blocked', () => {
  fastCheck.assert(fastCheck.property(fastCheck.integer({ min: 1, max: 2 ** 30 }), fastCheck.array(fastCheck.boolean(), { minLength: 5, maxLength: 30 }), (seed, kills) => {
    const crashes = new RandomCrashes(seed)
    for (const isKill of kills) {
      crashes.crash(isKill)
      for (const breaker of crashes.breakers) for (const request of requestNames) expect(breaker.admit({ ...sound, request }, crashes.now).ok).toBe(true)
    }
    expect(crashes.killCrashes).toBeLessThanOrEqual(crashBound)
    if (crashes.killCrashes >= crashBound) for (const breaker of crashes.breakers) expect(breaker.admit(kill, crashes.now + settled).err).toBe(true)
  }), { seed: 20261204, numRuns: 80 })
})
