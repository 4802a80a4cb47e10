/**
 * Measures the time from the start of the gateway program until it is ready, and its resident memory when
 * idle.
 *
 *   node scripts/buildForwarder.mjs && node scripts/run.mjs measure/forwarderStart.ts
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { bootFilePathVariable } from '../platform/index.ts'
import { StoreStandIn, bootDocument, configurationDocument } from '../platform/standin/index.ts'

const rounds = 5
const pollMilliseconds = 5
const settleMilliseconds = 2_000
const kibibytesPerMebibyte = 1_024
const host = '127.77.0.1'

async function isReady (): Promise<boolean> {
  try {
    return (await fetch(`http://${host}:8220/v1/readyz`)).status === 200
  } catch {
    // It does not listen yet.
    return false
  }
}

function residentMebibytes (process: ChildProcess): number {
  const [, kibibytes] = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${process.pid}/status`, 'utf8')) ?? []
  return Math.round(Number(kibibytes) / kibibytesPerMebibyte)
}

async function main (): Promise<void> {
  const store = await StoreStandIn.start('127.0.0.1')
  store.put('op', 'config', configurationDocument(1))
  const directory = mkdtempSync(join(tmpdir(), 'lavenderdoor-start-'))
  const bootFile = join(directory, 'boot.json')
  writeFileSync(bootFile, JSON.stringify(bootDocument('edge-1', host, store.address, [], 1)))

  for (let round = 0; round < rounds; round++) {
    const startedAt = performance.now()
    const gateway = spawn(process.execPath, ['--max-old-space-size=180', '--max-semi-space-size=4', 'target/launch.cjs'], {
      env: { [bootFilePathVariable]: bootFile, LAVENDERDOOR_LINK_SECRET: 'measured' },
      stdio: ['ignore', 'ignore', 'inherit']
    })
    while (!await isReady()) await new Promise(resolve => setTimeout(resolve, pollMilliseconds))
    const milliseconds = Math.round(performance.now() - startedAt)
    await new Promise(resolve => setTimeout(resolve, settleMilliseconds))
    console.log(JSON.stringify({ round, readyMilliseconds: milliseconds, idleMebibytes: residentMebibytes(gateway) }))
    gateway.kill('SIGTERM')
    await new Promise(resolve => gateway.once('exit', resolve))
  }
  await store.close()
  rmSync(directory, { recursive: true })
}

main().catch(error => {
  console.error(error)
  process.exitCode = 1
})
