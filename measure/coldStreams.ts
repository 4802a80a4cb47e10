/**
 * Measures the processor time that a gateway spends on its start and on its first hundred streams.
 * Variants run side by side under the same load of the machine; the rounds say how much they vary.
 *
 *   node scripts/buildForwarder.mjs && node scripts/run.mjs measure/coldStreams.ts 3 target 'target --max-lazy'
 *
 * The first argument is the number of rounds. Each other one is a variant: a directory with a built
 * program, then flags of Node. The code cache of each variant is written under its flags.
 */
import { spawn, spawnSync } from 'node:child_process'
import { cpSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { bootFilePathVariable } from '../platform/index.ts'
import { EndpointStandIn, StoreStandIn, bootDocument, configurationDocument, endpointDocument } from '../platform/standin/index.ts'

const streamCount = 100
const streamIntervalMilliseconds = 120
const eventCount = 45
const eventIntervalMilliseconds = 20
const pollMilliseconds = 50
const memoryFlags = ['--max-old-space-size=180']
/** Units of `/proc/PID/stat`. */
const ticksPerSecond = 100

/** Milliseconds of processor time. */
interface ProcessorTime {
  readonly own: number
  readonly kernel: number
}

interface Sample {
  readonly start: ProcessorTime
  readonly streams: ProcessorTime
  readonly answered: number
  readonly peakMegabytes: number
}

const sleep = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds))

function processorTime (pid: number): ProcessorTime {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  return { own: Number(fields[11]) * 1_000 / ticksPerSecond, kernel: Number(fields[12]) * 1_000 / ticksPerSecond }
}

function peakMegabytes (pid: number): number {
  const [, kilobytes] = /VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
  return Math.round(Number(kilobytes) / 1_024)
}

async function isReady (host: string): Promise<boolean> {
  try {
    return (await fetch(`http://${host}:8220/v1/readyz`)).status === 200
  } catch {
    // It does not listen yet.
    return false
  }
}

/** Resolves to whether the stream came to its end. */
function callStream (host: string, attempt: number): Promise<boolean> {
  return new Promise(resolve => {
    const call = request({
      host,
      port: 8227,
      path: '/query/1',
      method: 'POST',
      agent: false,
      headers: { host: 'desk.example', authorization: 'Bearer good-key', 'attempt-id': `a-${attempt}`, model: '*', 'token-usage': '600,100', 'prefix-hash': 'a1:500,b2:100', 'deadline-ms': '9000' }
    }, response => {
      response.resume()
      response.once('end', () => resolve(response.statusCode === 200))
      response.once('error', () => resolve(false))
    })
    call.once('error', () => resolve(false))
    call.end()
  })
}

async function startEngine (): Promise<EndpointStandIn> {
  const engine = await EndpointStandIn.start('127.0.0.1', 'i-1')
  engine.handleWith(async (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
    for (let id = 1; id <= eventCount; id++) {
      response.write(`id: ${id}\ndata: ${'x'.repeat(60)}\n\n`)
      await sleep(eventIntervalMilliseconds)
    }
    response.end()
  })
  return engine
}

/** Copies the built program and writes its code cache under the flags. */
function prepare (variant: string): { directory: string, flags: string[] } {
  const [source = '', ...added] = variant.split(' ')
  const directory = mkdtempSync(join(tmpdir(), 'lavenderdoor-cold-'))
  const flags = [...memoryFlags, ...added]
  cpSync(source, directory, { recursive: true })
  rmSync(join(directory, 'forwarder.cjs.cache'), { force: true })
  const written = spawnSync(process.execPath, [...flags, join(directory, 'launch.cjs'), '--write-code-cache'], { stdio: 'inherit' })
  if (written.status !== 0) throw new Error(`no code cache for ${variant}`)
  return { directory, flags }
}

async function sample (host: string, { directory, flags }: ReturnType<typeof prepare>): Promise<Sample> {
  const store = await StoreStandIn.start('127.0.0.1')
  const engine = await startEngine()
  store.put('op', 'config', configurationDocument(1))
  store.put('servers', engine.identity, endpointDocument('engines', engine.address))
  const bootFile = join(directory, 'boot.json')
  writeFileSync(bootFile, JSON.stringify(bootDocument('edge-1', host, store.address, [], 1)))
  const gateway = spawn(process.execPath, [...flags, join(directory, 'launch.cjs')], {
    env: { [bootFilePathVariable]: bootFile, LAVENDERDOOR_LINK_SECRET: 'measured' },
    stdio: ['ignore', 'ignore', 'inherit']
  })
  const pid = gateway.pid ?? 0
  while (!await isReady(host)) await sleep(pollMilliseconds)
  await sleep(500)
  const start = processorTime(pid)
  const calls: Promise<boolean>[] = []
  for (let attempt = 0; attempt < streamCount; attempt++) {
    calls.push(callStream(host, attempt))
    await sleep(streamIntervalMilliseconds)
  }
  const answered = (await Promise.all(calls)).filter(Boolean).length
  const end = processorTime(pid)
  const peak = peakMegabytes(pid)
  gateway.kill('SIGTERM')
  await new Promise(resolve => gateway.once('exit', resolve))
  await engine.close()
  await store.close()
  return { start, streams: { own: end.own - start.own, kernel: end.kernel - start.kernel }, answered, peakMegabytes: peak }
}

async function main (): Promise<void> {
  const [rounds = '1', ...variants] = process.argv.slice(2)
  const prepared = variants.map(variant => ({ variant, program: prepare(variant) }))
  for (let round = 1; round <= Number(rounds); round++) {
    await Promise.all(prepared.map(async ({ variant, program }, index) => {
      console.log(JSON.stringify({ round, variant, ...await sample(`127.78.1.${index + 1}`, program) }))
    }))
  }
  for (const { program } of prepared) rmSync(program.directory, { recursive: true })
}

main().catch(error => {
  console.error(error)
  process.exitCode = 1
})
