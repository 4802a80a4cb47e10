import { afterEach, beforeEach, expect, test } from 'vitest'
import { Fault, Framing } from './fakes/stutteringEndpoint.ts'
import { StutteringWorld, faultOf, prefixes, wholeAnswer } from './fakes/stutteringWorld.ts'

let world: StutteringWorld
beforeEach(async () => { world = await StutteringWorld.start() })
afterEach(() => world.close())

/** Sends a request whose answer stops in the middle of its body, or as far from there as is said. */
async function cutOnce (id: string, prefix: string, framing: Framing, cutOf: (answer: string) => number = answer => answer.length - 100) {
  const response = await world.ask(prefix, id, { framing, cut: cutOf(wholeAnswer(id, prefix, framing)), fault: Fault.SecondAnswer })
  return { status: response?.status, fault: faultOf(id, prefix, response), runs: world.runsOf(id) }
}

test.each(Object.values(Framing))('after a body that stops an idempotent request is tried elsewhere, a stream goes on elsewhere, and another request fails (%s)', async framing => {
  expect(await cutOnce(`i-${framing}`, '/balance/', framing)).toEqual({ status: 200, fault: undefined, runs: 2 })
  expect(await cutOnce(`s-${framing}`, '/query/', framing)).toEqual({ status: 200, fault: undefined, runs: 2 })
  expect(await cutOnce(`o-${framing}`, '/release/', framing)).toEqual({ status: 502, fault: undefined, runs: 1 })
})

test.each([Framing.Chunks, Framing.Length])('a whole answer is delivered although another one follows it (%s)', async framing => {
  for (const prefix of prefixes) expect(await cutOnce(`${prefix}${framing}`, prefix, framing, answer => answer.length)).toEqual({ status: 200, fault: undefined, runs: 1 })
})

test('an answer without a frame that another one follows is not whole', async () => {
  expect(await cutOnce('whole-none', '/release/', Framing.None, answer => answer.length)).toEqual({ status: 502, fault: undefined, runs: 1 })
})
