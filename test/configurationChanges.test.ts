import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { ChangingWorld } from './fakes/changingWorld.ts'
import { KeptCallers } from './fakes/keptCallers.ts'

/** More seeds by hand: `LAVENDERDOOR_SEEDS=100-149 npx vitest run test/configurationChanges.test.ts`. */
const [firstSeed = 1, lastSeed = firstSeed] = (process.env.LAVENDERDOOR_SEEDS ?? '1-2').split('-').map(Number)
const seeds = Array.from({ length: lastSeed - firstSeed + 1 }, (_, index) => firstSeed + index)
const callerCount = 12
const changeMilliseconds = 4_000
/** Fewer would show little. */
const minimumServed = 100

test.each(seeds)('beside changes of the configuration, boot files, endpoints, store and gateways every whole request is answered or refused (seed %d)', async seed => {
  const randomness = new SeededRandomness(seed)
  const world = await ChangingWorld.start(randomness)
  const callers = new KeptCallers(world, randomness)
  await Promise.all([world.change(changeMilliseconds), ...Array.from({ length: callerCount }, () => callers.run(changeMilliseconds + 1_000))])
  await world.close()
  expect(callers.findings, world.log.join('\n')).toEqual([])
  expect(callers.statuses.get(200)).toBeGreaterThan(minimumServed)
  if (process.env.LAVENDERDOOR_SEEDS !== undefined) console.log(seed, Object.fromEntries(callers.statuses))
}, 60_000)
