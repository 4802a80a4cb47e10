/** A part of prompts crashes runners, while the settings of the gateways name seeds that are gone. */
import { World, clientHost, isTroubled, sleep, unusedAddress } from '../stand-ins-2/world.mjs'

const gatewayCount = 7
const runnerCount = 9
const model = 'daka510000'
const commonPart = '5c1e07a2'
const killingPart = 'dead0001'
const runnerBackMilliseconds = 3_000
const stableMilliseconds = 4_000
const soundPerSecond = 14
const killingIntervalMilliseconds = 900
const seconds = 60
const crashesBeforeBound = 5
const allowedRequests = 3

const world = new World(process.argv[2])
await world.startStore()
world.configure(1, [{ prefix: '/query/', route_type: 'streaming', timeout_ms: 25_000, target_latency_ms: 2_000, target_gap_ms: 1_200, resumable: true, affinity: true, backend: 'assist-llm' }], ['assist-llm'])
for (let number = 1; number <= runnerCount; number++) {
  const runner = await world.startRunner('assist-llm', { id: `i-${number}`, model, events: 10, gapMilliseconds: 60, poison: killingPart })
  runner.onEnd = async () => {
    await sleep(runnerBackMilliseconds)
    await world.startRunner('assist-llm', runner.settings, runner)
  }
}
for (let number = 0; number < gatewayCount; number++) world.addGateway()
const goneSeeds = await Promise.all([1, 2, 3].map(() => unusedAddress(world.newHost())))
for (const gateway of world.gateways) world.startGateway(gateway, isTroubled ? { seeds: goneSeeds } : {})
await world.untilReady()
// Gateways that know each other have done so by now.
await sleep(8_000)

const crashes = []
const killingRuns = []
world.onRunner = ({ type, parts = [] }) => {
  if (type === 'crash') crashes.push(world.now)
  if (type === 'run' && parts.includes(killingPart)) killingRuns.push(world.now)
}

let sent = 0
async function ask (parts, gateway) {
  const number = ++sent
  return await world.send(gateway, {
    method: 'POST',
    path: `/query/${number}`,
    headers: { Host: clientHost, Model: model, 'Token-Usage': '700,10', 'Prefix-Hash': [...parts, `${(0xb00000 + number).toString(16)}:300`].join(',') },
    body: `prompt ${number}`,
    deadlineMilliseconds: 25_000
  })
}

const startedAt = world.now
const sound = []
const killing = []
let nextKillingAt = world.now + 2_000
while (world.now - startedAt < seconds * 1_000) {
  sound.push(ask([`${commonPart}:100`, `a00000${sent % 8}:300`], world.gateways[sound.length % gatewayCount]))
  if (world.now >= nextKillingAt) {
    nextKillingAt = world.now + killingIntervalMilliseconds
    killing.push(ask([`${commonPart}:100`, `${killingPart}:300`], world.gateways[killing.length % gatewayCount]))
  }
  await sleep(1_000 / soundPerSecond)
}
const answers = await Promise.all(sound)
await Promise.all(killing)

const boundAt = crashes.length < crashesBeforeBound ? Infinity : crashes[crashesBeforeBound - 1] + stableMilliseconds
const late = killingRuns.filter(at => at > boundAt)
world.say(`${killing.length} requests with the part, ${killingRuns.length} of them or of their repeats reached runners, ${crashes.length} crashes`)
world.say(`sound requests: ${answers.filter(({ status, isWhole }) => status === 200 && isWhole).length} of ${answers.length} answered whole`)
world.say(`the fifth crash was at ${crashes[crashesBeforeBound - 1] ?? 'no time'}; from ${stableMilliseconds} ms after it, ${late.length} requests with the part reached runners, at ${late.join(' ')}`)
world.finish(late.length > allowedRequests ? 1 : 0, late.length > allowedRequests ? 'BUDGET is broken' : 'BUDGET is kept')
