/**
 * Measures the latency that one daemon adds to a request, its throughput per core and its memory, with
 * real processes on loopback: `node scripts/run.mjs measure/path.ts [--seconds 5]`. Prints JSON.
 */
import { createHash } from 'node:crypto'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { build } from 'hdr-histogram-js'
import { stringify } from 'smol-toml'
import { Agent, request } from 'undici'
import { waitUntilAnswering, sleep, runCommand, startProgram } from '../trial/demo/processes.ts'
import type { TrialProcess } from '../trial/trialProcess.ts'

const platform = '127.0.0.1:22000'
const callers = '127.0.0.1:22001'
const operators = '127.0.0.1:22003'
const engines = [0, 1, 2, 3].map(number => `127.0.0.1:${22_010 + number}`)
const apiKey = 'key-of-measure'
const settleMilliseconds = 3_000
const pairs = 1_500
const warmUpPairs = 200

async function main (seconds: number): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'lavenderdoor-measure-'))
  const processes: TrialProcess[] = []
  try {
    processes.push(startProgram('platform', ['stand-in', 'platform', '--listen', platform], folder))
    engines.forEach((address, number) => {
      processes.push(startProgram(`engine-${number}`, ['stand-in', 'engine', '--listen', address, '--name', `engine-${number}`, '--versions', 'small@1', '--speed', '20', '--streams', '2000'], folder))
    })
    await waitUntilAnswering(`http://${platform}/virtual-machines`)
    await installSettings(folder)
    const daemon = startProgram('daemon', ['serve', '--config', writeDaemonConfiguration(folder)], folder)
    processes.push(daemon)
    await waitUntilAnswering(`http://${operators}/health/ready`)
    await sleep(settleMilliseconds)
    const agent = new Agent({ connections: 512 })
    const residentByLoad: Record<string, number> = { idle: residentMegabytes(daemon.pid) }
    const addedLatency = await measureAddedLatency(agent)
    const whole = await measureThroughput(agent, daemon.pid, seconds, false)
    const streamed = await measureThroughput(agent, daemon.pid, seconds, true)
    for (const streams of [40, 400]) residentByLoad[`streams${streams}`] = await measureMemory(agent, daemon.pid, streams)
    console.log(JSON.stringify({ measure: 'path', node: process.version, addedMilliseconds: addedLatency, whole, streamed, residentMegabytes: residentByLoad }, undefined, 2))
    await agent.destroy()
  } finally {
    for (const process of processes.reverse()) await process.kill()
  }
}

function writeDaemonConfiguration (folder: string): string {
  const file = join(folder, 'daemon.toml')
  writeFileSync(file, stringify({
    name: 'entry-1',
    region: 'lower-mainland',
    data_centre: 'lower-mainland-a',
    listen: { callers, link: '127.0.0.1:22002', operators },
    platform: { table_service: platform, object_store: platform, virtual_machines: platform, rating_service: platform },
    link: { secret: 'the shared secret of a measurement' },
    telemetry: { level: 'warn' }
  }))
  return file
}

async function installSettings (folder: string): Promise<void> {
  const file = join(folder, 'fleet.toml')
  writeFileSync(file, stringify({
    kinds: ['lookup'],
    data_centres: { 'lower-mainland-a': { region: 'lower-mainland' } },
    models: { small: { price: 1, versions: { 1: {} } } },
    endpoints: Object.fromEntries(engines.map((address, number) => [`engine-${number}`, { address, data_centre: 'lower-mainland-a', versions: ['small@1'] }])),
    organisations: { harbour: { key_hashes: [createHash('sha256').update(apiKey).digest('hex')], models: ['small'] } }
  }))
  const { code, output } = await runCommand(['settings', 'put', 'fleet', file, '--expected', '0', '--platform', platform])
  if (code !== 0) throw new Error(output)
}

function bodyOf (tokens: number, streamed: boolean, model: string): string {
  return JSON.stringify({ model, stream: streamed, max_tokens: tokens, metadata: { kind: 'lookup' }, messages: [{ role: 'user', content: `kind=lookup tokens=${tokens} request=m` }] })
}

async function sendRequest (agent: Agent, address: string, body: string): Promise<void> {
  const response = await request(`http://${address}/v1/chat/completions`, {
    method: 'POST', body, dispatcher: agent, headers: { authorization: `Bearer ${apiKey}`, 'content-type': 'application/json' }
  })
  const text = await response.body.text()
  if (response.statusCode !== 200) throw new Error(`chat request to ${address} was answered with status ${response.statusCode} instead of 200: ${text}`)
}

/** Sends one request at a time, alternating between direct to an engine and through the daemon. */
async function measureAddedLatency (agent: Agent): Promise<unknown> {
  const direct = build({ useWebAssembly: false })
  const throughDaemon = build({ useWebAssembly: false })
  const firstEngine = engines[0] ?? ''
  for (let pair = 0; pair < pairs + warmUpPairs; pair++) {
    for (const [histogram, address, model] of [[direct, firstEngine, 'small@1'], [throughDaemon, callers, 'auto']] as const) {
      const startedAt = performance.now()
      await sendRequest(agent, address, bodyOf(1, false, model))
      if (pair >= warmUpPairs) histogram.recordValue(Math.round((performance.now() - startedAt) * 1_000))
    }
  }
  const at = (share: number) => ({ direct: direct.getValueAtPercentile(share) / 1_000, routed: throughDaemon.getValueAtPercentile(share) / 1_000 })
  return { pairs, p50: at(50), p99: at(99) }
}

/** Keeps many requests in flight and divides their number by the processor time that the daemon used. */
async function measureThroughput (agent: Agent, pid: number, seconds: number, streamed: boolean): Promise<unknown> {
  const tokens = streamed ? 60 : 1
  const endsAt = Date.now() + seconds * 1_000
  const startedAt = Date.now()
  const processorBefore = processorSeconds(pid)
  let requests = 0
  const sendRequests = async () => {
    while (Date.now() < endsAt) {
      await sendRequest(agent, callers, bodyOf(tokens, streamed, 'auto'))
      requests++
    }
  }
  await Promise.all(Array.from({ length: streamed ? 200 : 64 }, sendRequests))
  const elapsed = (Date.now() - startedAt) / 1_000
  const processorTimeSeconds = processorSeconds(pid) - processorBefore
  return { requestsPerSecond: requests / elapsed, tokensPerSecond: requests * tokens / elapsed, coresUsed: processorTimeSeconds / elapsed, tokensPerCoreSecond: requests * tokens / processorTimeSeconds, requestsPerCoreSecond: requests / processorTimeSeconds }
}

async function measureMemory (agent: Agent, pid: number, streams: number): Promise<number> {
  const open = Array.from({ length: streams }, () => sendRequest(agent, callers, bodyOf(400, true, 'auto')))
  const all = Promise.allSettled(open)
  await sleep(1_000)
  const megabytes = residentMegabytes(pid)
  await all
  return megabytes
}

function residentMegabytes (pid: number): number {
  const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Math.round(Number(line?.[1]) / 1_024)
}

/** @returns user and system time of a process since its start, at the usual 100 clock ticks per second */
function processorSeconds (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  const ticksPerSecond = 100
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond
}

const seconds = Number(process.argv[process.argv.indexOf('--seconds') + 1]) || 5
main(seconds).then(() => process.exit(0), error => {
  console.error(error)
  process.exit(1)
})
