import { expect, test } from 'vitest'
import type { SharedPrompt } from '../src/breaker/index.ts'
import { NewsFleet } from './fakes/newsFleet.ts'

const kill: SharedPrompt = { organisation: 'harbour', parts: [], request: 'kill' }
/** After the third crash all gateways that can be reached know of the request within this time. */
const knownEverywhereMilliseconds = 4_000
const crashMilliseconds = 60
const shortCrashMilliseconds = 40
/** From the end of a run to its caller's repeat at another gateway. */
const repeatMilliseconds = 8
const judgedMilliseconds = 600

async function startFleet (size: number): Promise<NewsFleet> {
  const fleet = new NewsFleet(size)
  await fleet.clock.advance(2_000)
  return fleet
}

async function crashThrice (fleet: NewsFleet, gateways: readonly number[], prefix = ''): Promise<void> {
  for (const gateway of gateways) await fleet.crashUnder(gateway, kill, `${prefix}endpoint-${gateway}`, crashMilliseconds)
}

const unaware = (fleet: NewsFleet) => fleet.gateways.map((_, index) => index).filter(index => !fleet.isBlocked(index, kill))

test.each([7, 91, 231])('a request that crashed an endpoint at each of three gateways is known at all %i gateways in time, without the store', async size => {
  const fleet = await startFleet(size)
  await crashThrice(fleet, [0, Math.floor(size / 3), Math.floor(2 * size / 3)])
  await fleet.clock.advance(knownEverywhereMilliseconds)
  expect(unaware(fleet)).toEqual([])
  await fleet.stop()
}, 60_000)

test.each([[[0, 2, 0]], [[0, 2, 4]], [[2, 0, 2]], [[4, 4, 1]]])('a request that its caller repeats at once, at gateways %j, is refused by all of them once its third crash is judged, however long news takes', async gateways => {
  const fleet = await startFleet(7)
  for (const [crash, gateway] of gateways.entries()) await fleet.crashUnder(gateway, kill, `endpoint-${crash}`, shortCrashMilliseconds, new Map(), repeatMilliseconds)
  await fleet.clock.advance(judgedMilliseconds)
  expect(fleet.gateways.filter(({ breaker }) => breaker.admit(kill, fleet.clock.now()).ok)).toEqual([])
  await fleet.stop()
})

test('a crash is not dated later for the connection that its news needs first', async () => {
  const fleet = await startFleet(7)
  fleet.network.conditions.connectMilliseconds = 45
  fleet.network.disconnect()
  for (const gateway of [0, 1, 3]) await fleet.crashUnder(gateway, kill, `endpoint-${gateway}`, shortCrashMilliseconds, new Map(), repeatMilliseconds)
  await fleet.clock.advance(judgedMilliseconds)
  expect(fleet.gateways.filter(({ breaker }) => breaker.admit(kill, fleet.clock.now()).ok)).toEqual([])
  await fleet.stop()
})

test.each([7, 91])('a request that crashed three endpoints is known at all %i gateways in time, although all open links fell silent during the crashes', async size => {
  const fleet = await startFleet(size)
  await crashThrice(fleet, [0, Math.floor(size / 3)])
  fleet.network.silenceConnections()
  await crashThrice(fleet, [Math.floor(2 * size / 3)])
  await fleet.clock.advance(knownEverywhereMilliseconds)
  expect(unaware(fleet)).toEqual([])
  await fleet.stop()
}, 60_000)

test('a gateway that starts after the crashes knows of the request at once', async () => {
  const fleet = await startFleet(7)
  await crashThrice(fleet, [0, 1, 2])
  await fleet.clock.advance(knownEverywhereMilliseconds)
  fleet.restart(5)
  await fleet.clock.advance(100)
  expect(unaware(fleet)).toEqual([])
  await fleet.stop()
})

test('gateways of a data centre that was cut off during the crashes know of the request in time after the cut', async () => {
  const fleet = await startFleet(9)
  for (const dataCentre of ['coast-1', 'coast-2']) fleet.network.partition('inland-1', dataCentre)
  await crashThrice(fleet, [0, 1, 3])
  await fleet.clock.advance(knownEverywhereMilliseconds)
  expect(unaware(fleet)).toEqual([2, 5, 8])
  for (const dataCentre of ['coast-1', 'coast-2']) fleet.network.heal('inland-1', dataCentre)
  await fleet.clock.advance(knownEverywhereMilliseconds)
  expect(unaware(fleet)).toEqual([])
  await fleet.stop()
})

test('a gateway that gave a run up tells of it when another one sees the crash', async () => {
  const fleet = await startFleet(7)
  for (const crash of [0, 1, 2]) {
    const [owner, witness] = [fleet.gateways[0]!, fleet.gateways[1]!]
    const instance = `endpoint-${crash}`
    const abandoned = owner.runs.open({ instance, address: '', prompt: kill, cancel: () => undefined })
    abandoned.recordSent(fleet.clock.now())
    await fleet.clock.advance(300)
    abandoned.close()
    const sound = witness.runs.open({ instance, address: '', prompt: { ...kill, request: `sound-${crash}` }, cancel: () => undefined })
    sound.recordSent(fleet.clock.now())
    await fleet.clock.advance(400)
    sound.recordBreak(fleet.clock.now())
    sound.close()
  }
  await fleet.clock.advance(knownEverywhereMilliseconds)
  expect(unaware(fleet)).toEqual([])
  await fleet.stop()
})

test('gateways that all start anew at the same moment forget a request, which crashes three more endpoints and no others', async () => {
  const fleet = await startFleet(7)
  await crashThrice(fleet, [0, 1, 2])
  await fleet.clock.advance(knownEverywhereMilliseconds)
  await fleet.restartAll()
  await fleet.clock.advance(1_000)
  let crashes = 0
  for (let round = 0; round < 20; round++) {
    const gateway = fleet.randomness.integerBelow(7)
    const mayBeSent = fleet.gateways[gateway]!.breaker.admit(kill, fleet.clock.now()).ok
    if (mayBeSent) await fleet.crashUnder(gateway, kill, `second-${crashes++}`, crashMilliseconds)
    await fleet.clock.advance(100)
  }
  expect(crashes).toBe(3)
  await fleet.stop()
})
