import { afterAll, beforeAll, expect, test } from 'vitest'
import { Framing } from './fakes/stutteringEndpoint.ts'
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

const variants = prefixes.flatMap(prefix => Object.values(Framing).flatMap(framing => [undefined, 3].map(pauseMilliseconds => ({ prefix, framing, pauseMilliseconds }))))

interface Variant {
  readonly prefix: string
  readonly framing: Framing
  readonly pauseMilliseconds: number | undefined
}

/** Cuts answers after each of a number of bytes, and returns what is wrong with those that callers take for whole. */
async function cutEach (variant: string, { prefix, framing, pauseMilliseconds }: Variant, cutsOf: (answer: string) => readonly [number, number]): Promise<readonly string[]> {
  const idOf = (cut: number) => `${variant}-${String(cut).padStart(4, '0')}`
  const [firstCut, endCut] = cutsOf(wholeAnswer(idOf(0), prefix, framing))
  const faults: string[] = []
  await forEachBelow(endCut - firstCut, async index => {
    const cut = firstCut + index
    const fault = faultOf(idOf(cut), prefix, await world.ask(prefix, idOf(cut), { framing, cut, pauseMilliseconds }))
    if (fault !== undefined) faults.push(fault)
  })
  expect(new Set(world.endpoints.arrivals.filter(id => id.startsWith(variant))).size).toBe(endCut - firstCut)
  return faults
}

test.each(variants)('a head that stops anywhere is not passed on joined with that of a second answer ($prefix, framed by $framing, $pauseMilliseconds ms behind)', async variant => {
  expect(await cutEach(`head-${variants.indexOf(variant)}`, variant, answer => [0, answer.indexOf('\r\n\r\n') + 4])).toEqual([])
}, 60_000)

test.each(variants)('a body that stops anywhere is not completed by a second answer behind it ($prefix, framed by $framing, $pauseMilliseconds ms behind)', async variant => {
  expect(await cutEach(`body-${variants.indexOf(variant)}`, variant, answer => [answer.indexOf('\r\n\r\n') + 4, answer.length + 1])).toEqual([])
}, 60_000)
