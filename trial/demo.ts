/**
 * `npm run demo`: lays out a trial of separate processes on loopback, sends mixed requests while a
 * daemon is killed, another is replaced gracefully, a version is rolled out and its forerunner
 * withdrawn and an engine leaves, and judges what callers, endpoints and the store saw.
 */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { readBillRecords } from '../src/billing/index.ts'
import { SeededRandomness } from '../src/contract/index.ts'
import { HttpTableService } from '../src/store/index.ts'
import type { EngineRun, ServiceRun } from '../src/standin/index.ts'
import { TrialCallers, type Seen, type Wanted } from './demo/callers.ts'
import { judge, judgedPromises, settingsBoundMilliseconds, type Violation } from './demo/judge.ts'
import { organisations, rolledOutModel, type TrialDaemon, TrialLayout } from './demo/layout.ts'
import { answering, pause, runCommand, TrialProcess } from './demo/processes.ts'

const requestCount = 340
const arrivalsPerSecond = 20
const firstPort = 21_000
const statusPollMilliseconds = 100

/** A moment of the trial, in seconds after the first request, and what happens then. */
interface Happening {
  readonly atSeconds: number
  readonly what: string
  readonly act: () => Promise<void>
}

class Demo {
  readonly #folder = mkdtempSync(join(tmpdir(), 'lavenderdoor-demo-'))
  readonly #layout = new TrialLayout(this.#folder, firstPort)
  readonly #processes = new Map<string, TrialProcess>()
  readonly #randomness: SeededRandomness
  readonly #withdrawals: Array<{ version: string, acceptedAt: number }> = []
  readonly #lateSettings: string[] = []
  readonly #stopped = new Set<string>()
  readonly #killed = new Set<string>()
  readonly #leaving: Array<{ name: string, at: number }> = []

  constructor (seed: number) {
    this.#randomness = new SeededRandomness(seed)
  }

  async run (): Promise<number> {
    try {
      await this.#start()
      const callers = new TrialCallers(this.#layout.daemons)
      await pause(1_000)
      await Promise.all([this.#requests(callers), this.#happenings()])
      await callers.close()
      return await this.#report(callers)
    } finally {
      await Promise.all([...this.#processes.values()].map(process => process.kill()))
    }
  }

  async #start (): Promise<void> {
    const { daemons, endpoints, platform } = this.#layout
    this.#spawn('platform', ['stand-in', 'platform', '--listen', platform])
    for (const endpoint of endpoints) {
      const words = endpoint.service === undefined
        ? ['engine', '--versions', ...endpoint.versions, '--speed', String(endpoint.speed)]
        : ['service']
      this.#spawn(endpoint.name, ['stand-in', ...words, '--listen', endpoint.address, '--name', endpoint.name])
    }
    await answering(`http://${platform}/virtual-machines`)
    for (const team of ['fleet', 'counter']) {
      await this.#command(['settings', 'put', team, this.#layout.teamFile(team), '--expected', '0', '--author', 'demo', '--platform', platform])
    }
    for (const daemon of daemons) await this.#startDaemon(daemon)
    await Promise.all(daemons.map(daemon => answering(`http://${daemon.operators}/health/ready`)))
    console.log(`started ${this.#processes.size} processes: ${daemons.length} daemons, ${endpoints.length} endpoints and the platform; logs in ${this.#folder}`)
  }

  #spawn (name: string, words: readonly string[]): void {
    this.#processes.set(name, new TrialProcess(name, words, this.#folder))
  }

  async #startDaemon (daemon: TrialDaemon): Promise<void> {
    this.#spawn(daemon.name, ['serve', '--config', daemon.configFile])
    const entry = { address: daemon.link, region: daemon.dataCentre.region, dataCentre: daemon.dataCentre.name, leaving: false }
    await fetch(`http://${this.#layout.platform}/virtual-machines/${daemon.name}`, { method: 'PUT', body: JSON.stringify(entry), headers: { 'content-type': 'application/json' } })
  }

  async #command (words: readonly string[]): Promise<string> {
    const { code, output } = await runCommand(words)
    if (code !== 0) throw new Error(`lavenderdoor ${words.join(' ')} ended with ${code}: ${output}`)
    return output
  }

  async #requests (callers: TrialCallers): Promise<void> {
    const running: Array<Promise<void>> = []
    for (let number = 0; number < requestCount; number++) {
      running.push(callers.make(this.#wanted(number)))
      await pause(-Math.log(1 - this.#randomness.fraction()) * 1_000 / arrivalsPerSecond)
    }
    await Promise.all(running)
  }

  #wanted (number: number): Wanted {
    const draw = this.#randomness.fraction()
    const [harbour, guides, foresters] = organisations
    if (harbour === undefined || guides === undefined || foresters === undefined) throw new Error('the trial has three organisations')
    const common = { name: `r${number}`, streamed: false, difficulty: this.#randomness.fraction(), tokens: 20, turns: 0, once: undefined }
    if (draw < 0.25) return { ...common, kind: 'tagging', organisation: this.#anyOf([harbour, guides, foresters]) }
    if (draw < 0.60) return { ...common, kind: 'lookup', organisation: this.#anyOf([harbour, guides, foresters]), streamed: this.#randomness.fraction() < 0.9, tokens: 40 }
    if (draw < 0.72) return { ...common, kind: 'summary', organisation: this.#anyOf([harbour, guides]), streamed: true, tokens: 80, turns: 3 }
    if (draw < 0.80) return { ...common, kind: 'balance', organisation: harbour }
    if (draw < 0.92) return { ...common, kind: 'refund', organisation: this.#anyOf([harbour, guides]), once: { service: 'ledger', path: '/refunds' } }
    return { ...common, kind: 'registration', organisation: this.#anyOf([harbour, foresters]), once: { service: 'register', path: '/registrations' } }
  }

  #anyOf<Value> (values: readonly Value[]): Value {
    const value = values[this.#randomness.below(values.length)]
    if (value === undefined) throw new Error('nothing to draw from')
    return value
  }

  async #happenings (): Promise<void> {
    const startedAt = Date.now()
    for (const { atSeconds, what, act } of this.#plan()) {
      await pause(startedAt + atSeconds * 1_000 - Date.now())
      console.log(`${((Date.now() - startedAt) / 1_000).toFixed(1).padStart(5)} s  ${what}`)
      await act()
    }
  }

  #plan (): Happening[] {
    const [first, second, third] = this.#layout.daemons
    if (first === undefined || second === undefined || third === undefined) throw new Error('the trial has at least three daemons')
    const team = ['--team', 'fleet', '--author', 'demo', '--platform', this.#layout.platform]
    const engine = this.#layout.endpoints.find(endpoint => endpoint.service === undefined)
    return [
      { atSeconds: 2, what: `roll out ${rolledOutModel}@2 to a quarter of new sessions`, act: async () => await this.#change(['version', 'roll-out', rolledOutModel, '1', '2', '--share', '0.25', ...team]) },
      { atSeconds: 5, what: `kill ${first.name}`, act: async () => { this.#killed.add(first.name); await this.#processes.get(first.name)?.kill() } },
      { atSeconds: 6, what: `start ${first.name} anew`, act: async () => await this.#startDaemon(first) },
      { atSeconds: 8, what: `replace ${third.name} gracefully`, act: async () => await this.#replace(third) },
      { atSeconds: 11, what: `${engine?.name} begins to leave`, act: async () => await this.#leave(engine) },
      { atSeconds: 13, what: `roll out ${rolledOutModel}@2 to all new sessions`, act: async () => await this.#change(['version', 'roll-out', rolledOutModel, '1', '2', '--share', '1', ...team]) },
      { atSeconds: 15, what: `withdraw ${rolledOutModel}@1`, act: async () => await this.#withdraw(`${rolledOutModel}@1`, team) }
    ]
  }

  async #replace (daemon: TrialDaemon): Promise<void> {
    this.#stopped.add(daemon.name)
    const end = await this.#processes.get(daemon.name)?.stop()
    if (end?.code !== 0) throw new Error(`${daemon.name} ended with ${end?.code ?? end?.signal} on a planned stop`)
    await this.#startDaemon(daemon)
  }

  async #leave (engine: { readonly name: string, readonly address: string } | undefined): Promise<void> {
    if (engine === undefined) return
    await fetch(`http://${engine.address}/leave`, { method: 'POST' })
    this.#leaving.push({ name: engine.name, at: Date.now() })
  }

  async #withdraw (version: string, team: readonly string[]): Promise<void> {
    await this.#change(['version', 'withdraw', version, ...team])
    this.#withdrawals.push({ version, acceptedAt: Date.now() })
  }

  /** Makes a change and watches until it is in force at every daemon. */
  async #change (words: readonly string[]): Promise<void> {
    const output = await this.#command(words)
    const acceptedAt = Date.now()
    const revision = Number(/revision (\d+)/.exec(output)?.[1])
    const waiting = new Set(this.#layout.daemons)
    while (waiting.size > 0 && Date.now() - acceptedAt < settingsBoundMilliseconds) {
      for (const daemon of waiting) if (await revisionAt(daemon) >= revision) waiting.delete(daemon)
      await pause(statusPollMilliseconds)
    }
    for (const daemon of waiting) this.#lateSettings.push(`revision ${revision} was not in force at ${daemon.name} after ${settingsBoundMilliseconds} ms`)
    if (waiting.size === 0) console.log(`         revision ${revision} in force at every daemon after ${Date.now() - acceptedAt} ms`)
  }

  async #report (callers: TrialCallers): Promise<number> {
    const table = new HttpTableService({ address: this.#layout.platform, timeoutMilliseconds: 5_000 })
    const verified = await runCommand(['bill', 'verify', '--platform', this.#layout.platform])
    const engines = this.#layout.endpoints.filter(endpoint => endpoint.service === undefined)
    const services = this.#layout.endpoints.filter(endpoint => endpoint.service !== undefined)
    const engineRuns = new Map<string, EngineRun[]>()
    for (const engine of engines) engineRuns.set(engine.name, await records<EngineRun>(engine.address))
    const serviceRuns = (await Promise.all(services.map(service => records<ServiceRun>(service.address)))).flat()
    const violations = judge({
      seen: callers.seen,
      engineRuns: [...engineRuns.values()].flat(),
      serviceRuns,
      bills: (await readBillRecords(table)).unwrap(),
      billFaults: verified.code === 0 ? undefined : verified.output,
      withdrawals: this.#withdrawals,
      stopped: this.#stopped,
      killed: this.#killed,
      lateSettings: this.#lateSettings,
      leaving: this.#leaving.map(({ name, at }) => ({ name, at, runs: engineRuns.get(name) ?? [] }))
    })
    await table.close()
    printReport(callers, violations)
    return violations.length
  }
}

async function revisionAt (daemon: TrialDaemon): Promise<number> {
  const response = await fetch(`http://${daemon.operators}/status`).catch(() => undefined)
  if (response === undefined) return 0
  const status = await response.json() as { settings: { revision: number } }
  return status.settings.revision
}

async function records<Run> (address: string): Promise<Run[]> {
  const response = await fetch(`http://${address}/records`)
  return await response.json() as Run[]
}

function printReport (callers: TrialCallers, violations: readonly Violation[]): void {
  const kinds = [...new Set(callers.seen.map(seen => seen.kind))].sort()
  console.log('\nkind           requests  answered  not_run  unknown  median ms')
  for (const kind of kinds) printKind(kind, callers.seen.filter(seen => seen.kind === kind))
  const firstText = callers.firstTextMilliseconds
  console.log(`first text of streams: median ${quantile(firstText, 0.5)} ms, p95 ${quantile(firstText, 0.95)} ms`)
  console.log(`codes of refusals: ${JSON.stringify(countsOf(callers.seen.flatMap(seen => seen.code ?? [])))}`)
  console.log(`promises judged: ${judgedPromises.length}`)
  for (const { promise, evidence } of violations) console.log(`violation: ${promise}: ${evidence}`)
  const { seen } = callers
  console.log(`demo: ${seen.length} requests, ${count(seen, 'answered')} answered whole, ${count(seen, 'not_run')} refused not_run, ${unknowns(seen)} unknown, ${violations.length} violations`)
}

function printKind (kind: string, seen: readonly Seen[]): void {
  const times = seen.filter(each => each.outcome === 'answered').map(each => each.endedAt - each.startedAt)
  const cells = [seen.length, count(seen, 'answered'), count(seen, 'not_run'), unknowns(seen), quantile(times, 0.5)]
  console.log(`${kind.padEnd(15)}${cells.map((cell, index) => String(cell).padStart([8, 10, 9, 9, 11][index] ?? 0)).join('')}`)
}

function count (seen: readonly Seen[], outcome: Seen['outcome']): number {
  return seen.filter(each => each.outcome === outcome).length
}

/** All that is neither answered nor truly not run. */
function unknowns (seen: readonly Seen[]): number {
  return seen.length - count(seen, 'answered') - count(seen, 'not_run')
}

function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

function countsOf (names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1
  return counts
}

const seed = Number(process.argv[process.argv.indexOf('--seed') + 1] ?? 1) || 1
new Demo(seed).run().then(violations => {
  process.exit(violations === 0 ? 0 : 1)
}, error => {
  console.error(error)
  process.exit(1)
})
