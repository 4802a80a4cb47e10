import { expect, test } from 'vitest'
import { PromptBreaker, type SharedPrompt, type SuspectRun } from '../src/breaker/index.ts'

const system = 'a1'
const poison = 'dead'
const poisoned: SharedPrompt = { organisation: 'harbour', parts: [system, poison] }
const sound: SharedPrompt = { organisation: 'harbour', parts: [system] }
/** Time after which a crash is judged. */
const settled = 1_000
const trialDelayMilliseconds = 30_000

function createBreaker (name = 'gateway-1') {
  const changes: string[] = []
  const breaker = new PromptBreaker({ name, onChange: ({ type, block }) => changes.push(`${type} ${block.organisation} ${block.part}`) })
  let crashes = 0
  const crash = (at: number, ...runs: SuspectRun[]) => breaker.recordCrash({ instance: `${name}-engine-${crashes++}`, reporter: name, crashedAt: at, runs }, at)
  return { breaker, changes, crash }
}

const run = (prompt: SharedPrompt, begunAt: number): SuspectRun => ({ prompt, begunAt })

/** Three crashes one after the other, each under a run of the prompt that had just begun. */
function crashInSequence (crash: (at: number, ...runs: SuspectRun[]) => void, prompt: SharedPrompt, from = 0): void {
  for (const at of [100, 400, 700]) crash(from + at, run(prompt, from + at - 60))
}

test('a part under which endpoints crash one after the other is blocked, and nothing that only shares its other parts', () => {
  const { breaker, changes, crash } = createBreaker()
  crashInSequence(crash, poisoned)
  expect(breaker.admit(poisoned, 700 + settled).err).toBe(true)
  expect(breaker.admit(sound, 700 + settled).ok).toBe(true)
  expect(changes).toEqual([`blocked harbour ${poison}`])
})

test('a system prompt that crashes endpoints with whatever follows it is blocked', () => {
  const { breaker, crash } = createBreaker()
  for (const at of [100, 400, 700]) crash(at, run({ organisation: 'harbour', parts: [system, `subject-${at}`] }, at - 60))
  expect(breaker.admit(sound, 700 + settled).err).toBe(true)
})

test('endpoints that end together with their rack block nothing', () => {
  const { breaker, crash } = createBreaker()
  for (let index = 0; index < 6; index++) crash(1_000 + index * 5, run(poisoned, 400 + index * 80))
  expect(breaker.admit(poisoned, 1_000 + settled).ok).toBe(true)
})

test('a part that was answered well is not blamed for crashes of endpoints that it was sent to', () => {
  const { breaker, crash } = createBreaker()
  breaker.recordAnswer(sound, 0)
  crashInSequence(crash, sound)
  expect(breaker.admit(sound, 700 + settled).ok).toBe(true)
})

test('crashes that a blocked part explains are not blamed on a prompt that ran beside it', () => {
  const { breaker, crash } = createBreaker()
  crashInSequence(crash, poisoned)
  expect(breaker.admit(poisoned, 2_000).err).toBe(true)
  const beside: SharedPrompt = { organisation: 'guides', parts: ['b2'] }
  for (const at of [2_100, 2_400, 2_700]) crash(at, run(poisoned, at - 60), run(beside, at - 20))
  expect(breaker.admit(beside, 2_700 + settled).ok).toBe(true)
})

test('a second part that crashes endpoints is blocked as well', () => {
  const { breaker, crash } = createBreaker()
  for (const at of [100, 400, 700, 1_000]) crash(at, run(poisoned, at - 60))
  const second: SharedPrompt = { organisation: 'guides', parts: ['b2'] }
  crashInSequence(crash, second, 2_000)
  expect(breaker.admit(second, 2_700 + settled).err).toBe(true)
  expect(breaker.admit(poisoned, 2_700 + settled).err).toBe(true)
})

test('the run that had begun last is blamed, not those that had written for longer', () => {
  const { breaker, crash } = createBreaker()
  const other: SharedPrompt = { organisation: 'guides', parts: ['b2'] }
  for (const at of [1_000, 1_400, 1_800]) crash(at, run(other, at - 300), run(poisoned, at - 60))
  expect(breaker.admit(poisoned, 1_800 + settled).err).toBe(true)
  expect(breaker.admit(other, 1_800 + settled).ok).toBe(true)
})

test('a prompt that nobody has answered is not blamed for crashes that came long after its runs began, when all others are cleared', () => {
  const { breaker, crash } = createBreaker()
  const rare: SharedPrompt = { organisation: 'guides', parts: ['b2', 'rare'] }
  for (const at of [3_000, 6_000, 9_000, 12_000]) crash(at, run(rare, at - 1_200), run(sound, at - 100))
  breaker.recordAnswer(sound, 13_000)
  expect(breaker.admit(rare, 14_000).ok).toBe(true)
})

test('the crashes of one organisation do not block the same part of another', () => {
  const { breaker, crash } = createBreaker()
  crashInSequence(crash, poisoned)
  expect(breaker.admit(poisoned, 2_000).err).toBe(true)
  expect(breaker.admit({ ...poisoned, organisation: 'guides' }, 2_000).ok).toBe(true)
})

test('one crash seen at each of three gateways blocks the part at all of them', () => {
  const gateways = ['gateway-1', 'gateway-2', 'gateway-3'].map(createBreaker)
  for (const [index, { crash }] of gateways.entries()) crash(100 + 300 * index, run(poisoned, 40 + 300 * index))
  for (const { breaker } of gateways) for (const other of gateways) breaker.merge(other.breaker.news(800), 800)
  for (const { breaker } of gateways) expect(breaker.admit(poisoned, 700 + settled).err).toBe(true)
})

test('a crash that several gateways report counts once', () => {
  const { breaker } = createBreaker()
  for (const reporter of ['gateway-1', 'gateway-2', 'gateway-3']) {
    breaker.recordCrash({ instance: 'engine-1', reporter, crashedAt: 100, runs: [run(poisoned, 40)] }, 100)
  }
  expect(breaker.admit(poisoned, 100 + settled).ok).toBe(true)
})

test('a good answer at one gateway ends the block of a part at all of them', () => {
  const [first, second] = [createBreaker('gateway-1'), createBreaker('gateway-2')]
  crashInSequence(first.crash, poisoned)
  expect(first.breaker.admit(poisoned, 2_000).err).toBe(true)
  second.breaker.merge(first.breaker.news(2_000), 2_000)
  expect(second.breaker.admit(poisoned, 2_000).err).toBe(true)
  expect(first.breaker.recordAnswer(poisoned, 2_500)).toBe(true)
  expect(second.breaker.merge(first.breaker.news(2_500), 2_500)).toBe(true)
  for (const { breaker } of [first, second]) expect(breaker.admit(poisoned, 2_600).ok).toBe(true)
})

test('only the gateway that holds a block tries the part again, once and then more rarely', () => {
  const [holder, other] = [createBreaker('gateway-1'), createBreaker('gateway-2')]
  crashInSequence(holder.crash, poisoned)
  holder.breaker.review(2_000)
  other.breaker.merge(holder.breaker.news(2_000), 2_000)
  const trialAt = 2_000 + trialDelayMilliseconds
  expect(holder.breaker.admit(poisoned, trialAt - 1).err).toBe(true)
  expect(other.breaker.admit(poisoned, trialAt).err).toBe(true)
  expect(holder.breaker.admit(poisoned, trialAt).ok).toBe(true)
  expect(holder.breaker.admit(poisoned, trialAt + trialDelayMilliseconds).err).toBe(true)
  expect(holder.changes.at(-1)).toBe(`trial harbour ${poison}`)
})

test('a trial that crashes its endpoint renews the block for longer, and one that is answered ends it', () => {
  const { breaker, crash } = createBreaker()
  crashInSequence(crash, poisoned)
  breaker.review(2_000)
  const firstTrialAt = 2_000 + trialDelayMilliseconds
  expect(breaker.admit(poisoned, firstTrialAt).ok).toBe(true)
  crash(firstTrialAt + 100, run(poisoned, firstTrialAt + 40))
  expect(breaker.news(firstTrialAt + 100).blocks).toMatchObject([{ part: poison, trips: 2 }])
  const secondTrialAt = firstTrialAt + 100 + 4 * trialDelayMilliseconds
  expect(breaker.admit(poisoned, secondTrialAt - 1).err).toBe(true)
  expect(breaker.admit(poisoned, secondTrialAt).ok).toBe(true)
  breaker.recordAnswer(poisoned, secondTrialAt + 500)
  expect(breaker.admit(poisoned, secondTrialAt + 600).ok).toBe(true)
})

test('state stays bounded under prompts with ever new parts', () => {
  const { breaker, crash } = createBreaker()
  for (let index = 0; index < 20_000; index++) {
    const at = index * 10
    const prompt = { organisation: 'harbour', parts: [`part-${index}`] }
    if (index % 2 === 0) breaker.recordAnswer(prompt, at)
    else crash(at, run(prompt, at - 5))
  }
  const { reports, answers, blocks } = breaker.news(200_000)
  expect(reports.length).toBeLessThanOrEqual(64)
  expect(answers.length).toBeLessThanOrEqual(64)
  expect(blocks).toEqual([])
})
