/**
 * Measures the processor time of a gateway: an idle second, and a second with streams.
 *
 *   node scripts/buildForwarder.mjs && node scripts/run.mjs measure/gatewayProfile.ts
 *
 * With a directory as its argument it also writes a profile of the gateway there.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { bootFilePathVariable } from '../platform/index.ts'
import { EndpointStandIn, StoreStandIn, bootDocument, configurationDocument, endpointDocument } from '../platform/standin/index.ts'

const host = '127.78.0.1'
const phaseMilliseconds = 10_000
const pollMilliseconds = 20
const streamIntervalMilliseconds = 250
const eventCount = 50
const eventIntervalMilliseconds = 20
/** Units of `/proc/PID/stat`. */
const ticksPerSecond = 100

async function isReady (): Promise<boolean> {
  try {
    return (await fetch(`http://${host}:8220/v1/readyz`)).status === 200
  } catch {
    // It does not listen yet.
    return false
  }
}

const sleep = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds))

/** User and system time of a process in milliseconds. */
function processorMilliseconds (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  return (Number(fields[11]) + Number(fields[12])) * 1_000 / ticksPerSecond
}

function wakeups (pid: number): number {
  const [, count] = /voluntary_ctxt_switches:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
  return Number(count)
}

function callStream (attempt: number): void {
  const call = request({
    host,
    port: 8227,
    path: '/query/1',
    method: 'POST',
    agent: false,
    headers: { host: 'desk.example', authorization: 'Bearer good-key', 'attempt-id': `a-${attempt}`, model: '*', 'token-usage': '600,100', 'prefix-hash': 'a1:500,b2:100', 'deadline-ms': '9000' }
  }, response => { response.resume() })
  call.on('error', error => console.error(error.message))
  call.end()
}

async function main (): Promise<void> {
  const [profileDirectory] = process.argv.slice(2)
  const store = await StoreStandIn.start('127.0.0.1')
  store.put('op', 'config', configurationDocument(1))
  const engine = await EndpointStandIn.start('127.0.0.1', 'i-1')
  store.put('servers', engine.identity, endpointDocument('engines', engine.address))
  engine.handleWith(async (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
    for (let id = 1; id <= eventCount; id++) {
      response.write(`id: ${id}\ndata: ${'x'.repeat(60)}\n\n`)
      await sleep(eventIntervalMilliseconds)
    }
    response.end()
  })
  const directory = mkdtempSync(join(tmpdir(), 'lavenderdoor-profile-'))
  const bootFile = join(directory, 'boot.json')
  writeFileSync(bootFile, JSON.stringify(bootDocument('edge-1', host, store.address, [], 1)))
  const profileFlags = profileDirectory === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileDirectory}`]
  const gateway = spawn(process.execPath, ['--max-old-space-size=180', '--max-semi-space-size=4', ...profileFlags, 'target/launch.cjs'], {
    env: { [bootFilePathVariable]: bootFile, LAVENDERDOOR_LINK_SECRET: 'measured' },
    stdio: ['ignore', 'ignore', 'inherit']
  })
  const pid = gateway.pid ?? 0
  while (!await isReady()) await sleep(pollMilliseconds)
  const start = processorMilliseconds(pid)
  await sleep(1_000)
  const measure = async (phase: string, tick: () => void) => {
    const [processorBefore, wakeupsBefore] = [processorMilliseconds(pid), wakeups(pid)]
    const timer = setInterval(tick, streamIntervalMilliseconds)
    await sleep(phaseMilliseconds)
    clearInterval(timer)
    const seconds = phaseMilliseconds / 1_000
    console.log(JSON.stringify({ phase, processorMillisecondsPerSecond: (processorMilliseconds(pid) - processorBefore) / seconds, wakeupsPerSecond: (wakeups(pid) - wakeupsBefore) / seconds }))
  }
  console.log(JSON.stringify({ phase: 'start until ready', processorMilliseconds: start }))
  await measure('idle', () => undefined)
  let attempts = 0
  await measure('four streams of fifty events a second, warming up', () => callStream(attempts++))
  await measure('four streams of fifty events a second', () => callStream(attempts++))
  gateway.kill('SIGTERM')
  await new Promise(resolve => gateway.once('exit', resolve))
  await engine.close()
  await store.close()
  rmSync(directory, { recursive: true })
}

main().catch(error => {
  console.error(error)
  process.exitCode = 1
})
