import { expect, test } from 'vitest'
import { type Randomness, SeededRandomness } from '../src/contract/index.ts'
import { Fault, Framing } from './fakes/stutteringEndpoint.ts'
import { StutteringWorld, faultOf, prefixes, wholeAnswer } from './fakes/stutteringWorld.ts'

const requestCount = 600
const callerCount = 16
/** Shares of the requests after which the configuration changes, and after which the gateway stops. */
const changeShare = 0.4
const stopShare = 0.9

function pick<Item> (items: readonly Item[], randomness: Randomness): Item {
  return items[randomness.integerBelow(items.length)] as Item
}

test.each([1, 2, 3])('beside endpoints that stutter, break off, and repeat parts of earlier answers, callers get whole answers or none, through a change and a stop (seed %d)', async seed => {
  const world = await StutteringWorld.start()
  const randomness = new SeededRandomness(seed)
  const faults: string[] = []
  let sent = 0
  let successes = 0
  const ask = async (index: number) => {
    const id = `${seed}-${String(index).padStart(4, '0')}`
    const [prefix, framing] = [pick(prefixes, randomness), pick(Object.values(Framing), randomness)]
    // Without a frame an orderly end is that of a whole answer.
    const fault = pick(Object.values(Fault).filter(name => name !== Fault.End || framing !== Framing.None), randomness)
    const cut = randomness.integerBelow(wholeAnswer(id, prefix, framing).length + 1)
    const response = await world.ask(prefix, id, { framing, cut, fault })
    const wrong = faultOf(id, prefix, response)
    if (wrong !== undefined) faults.push(`${wrong} (${framing}, ${cut}, ${fault})`)
    if (response?.status === 200 && response.isComplete) successes++
  }
  let stop: Promise<void> | undefined
  await Promise.all(Array.from({ length: callerCount }, async () => {
    for (let index = sent++; index < requestCount; index = sent++) {
      if (index === requestCount * changeShare) world.putConfiguration(2)
      if (index === requestCount * stopShare) stop = world.stopGateway()
      await ask(index)
    }
  }))
  await stop
  await world.close()
  expect(faults).toEqual([])
  expect(successes).toBeGreaterThan(requestCount / 4)
}, 60_000)
