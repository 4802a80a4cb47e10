import { afterAll, beforeAll, expect, test } from 'vitest'
import { Fault, Framing } from './fakes/stutteringEndpoint.ts'
import { StutteringWorld, faultOf, prefixes, wholeAnswer } from './fakes/stutteringWorld.ts'

const concurrency = 24

let world: StutteringWorld
beforeAll(async () => { world = await StutteringWorld.start() })
afterAll(() => world.close())

/** Runs a job for each number, several at a time. */
async function forEachBelow (limit: number, job: (index: number) => Promise<void>): Promise<void> {
  let next = 0
  await Promise.all(Array.from({ length: concurrency }, async () => {
    while (next < limit) await job(next++)
  }))
}

interface Variant {
  readonly prefix: string
  readonly framing: Framing
  readonly fault: Fault
}

function variantsWith (faults: readonly Fault[]): readonly Variant[] {
  return prefixes.flatMap(prefix => Object.values(Framing).flatMap(framing => faults.map(fault => ({ prefix, framing, fault }))))
}

const secondAnswers = variantsWith([Fault.SecondAnswer, Fault.LateSecondAnswer])
const closes = variantsWith([Fault.End, Fault.Reset, Fault.LateReset])
const endOfHead = (answer: string) => answer.indexOf('\r\n\r\n') + 4

/** Cuts answers after each of a number of bytes, and returns what is wrong with those that callers take for whole. */
async function cutEach (part: string, { prefix, framing, fault }: Variant, cutsOf: (answer: string) => readonly [number, number]): Promise<readonly string[]> {
  const name = `${part}-${prefix.slice(1, 2)}-${framing}-${fault}-`
  const idOf = (cut: number) => `${name}${String(cut).padStart(4, '0')}`
  const [firstCut, endCut] = cutsOf(wholeAnswer(idOf(0), prefix, framing))
  const faults: string[] = []
  await forEachBelow(endCut - firstCut, async index => {
    const cut = firstCut + index
    const wrong = faultOf(idOf(cut), prefix, await world.ask(prefix, idOf(cut), { framing, cut, fault }))
    if (wrong !== undefined) faults.push(wrong)
  })
  expect(new Set(world.endpoints.arrivals.filter(id => id.startsWith(name))).size).toBe(endCut - firstCut)
  return faults
}

test.each(secondAnswers)('a head that stops anywhere is not passed on joined with that of a second answer ($prefix, $framing, $fault)', async variant => {
  expect(await cutEach('head', variant, answer => [0, endOfHead(answer)])).toEqual([])
}, 60_000)

test.each(secondAnswers)('a body that stops anywhere is not completed by a second answer behind it ($prefix, $framing, $fault)', async variant => {
  expect(await cutEach('body', variant, answer => [endOfHead(answer), answer.length + 1])).toEqual([])
}, 60_000)

test.each(closes)('an answer that stops anywhere in its head is not passed on when its connection closes ($prefix, $framing, $fault)', async variant => {
  expect(await cutEach('closed', variant, answer => [0, endOfHead(answer)])).toEqual([])
}, 60_000)

const bodyCloses = variantsWith([Fault.End, Fault.Reset])
  // Without a frame an orderly end is that of a whole answer.
  .filter(({ framing, fault }) => framing !== Framing.None || fault !== Fault.End)

test.each(bodyCloses)('an answer that stops anywhere in its body does not look whole when its connection closes ($prefix, $framing, $fault)', async variant => {
  expect(await cutEach('short', variant, answer => [endOfHead(answer), answer.length])).toEqual([])
}, 60_000)
