/**
 * `npm run demo`: starts a trial of separate processes on loopback and sends a mix of requests. In the
 * meantime a daemon is killed, another is replaced gracefully, a version is rolled out, its
 * predecessor is withdrawn and an engine leaves. Afterwards the guarantees are checked against the
 * records of callers, endpoints and the store.
 */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { readBillRecords } from '../src/billing/index.ts'
import { SeededRandomness, SystemClock } from '../src/contract/index.ts'
import { HttpTableService } from '../src/store/index.ts'
import type { EngineRun, ServiceRun } from '../src/standin/index.ts'
import { TrialCallers, type RequestObservation, type PlannedRequest } from './demo/callers.ts'
import { findViolations, checkedGuarantees, settingsPropagationLimitMilliseconds, type Violation } from './demo/violations.ts'
import { organisations, rolledOutModel, type TrialDaemon, TrialLayout } from './demo/layout.ts'
import { waitUntilAnswering, sleep, runCommand, startProgram } from './demo/processes.ts'
import type { TrialProcess } from './trialProcess.ts'

const requestCount = 340
const arrivalsPerSecond = 20
const firstPort = 21_000
const statusPollIntervalMilliseconds = 100

/** An action at a fixed time of the trial, in seconds after the start of the requests. */
interface ScheduledEvent {
  readonly atSeconds: number
  readonly description: string
  readonly action: () => Promise<void>
}

class Demo {
  readonly #folder = mkdtempSync(join(tmpdir(), 'lavenderdoor-demo-'))
  readonly #layout = new TrialLayout(this.#folder, firstPort)
  readonly #processes = new Map<string, TrialProcess>()
  readonly #randomness: SeededRandomness
  readonly #withdrawals: Array<{ version: string, acceptedAt: number }> = []
  readonly #lateSettings: string[] = []
  readonly #stoppedDaemons = new Set<string>()
  readonly #killedDaemons = new Set<string>()
  readonly #leavingEngines: Array<{ name: string, at: number }> = []

  constructor (seed: number) {
    this.#randomness = new SeededRandomness(seed)
  }

  async run (): Promise<number> {
    try {
      await this.#start()
      const callers = new TrialCallers(this.#layout.daemons)
      await sleep(1_000)
      await Promise.all([this.#sendRequests(callers), this.#runEvents()])
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
      const commandArguments = endpoint.service === undefined
        ? ['engine', '--versions', ...endpoint.versions, '--speed', String(endpoint.speed)]
        : ['service']
      this.#spawn(endpoint.name, ['stand-in', ...commandArguments, '--listen', endpoint.address, '--name', endpoint.name])
    }
    await waitUntilAnswering(`http://${platform}/virtual-machines`)
    for (const team of ['fleet', 'counter']) {
      await this.#runCommand(['settings', 'put', team, this.#layout.writeTeamFile(team), '--expected', '0', '--author', 'demo', '--platform', platform])
    }
    for (const daemon of daemons) await this.#startDaemon(daemon)
    await Promise.all(daemons.map(daemon => waitUntilAnswering(`http://${daemon.operatorAddress}/health/ready`)))
    console.log(`started ${this.#processes.size} processes: ${daemons.length} daemons, ${endpoints.length} endpoints and the platform; logs in ${this.#folder}`)
  }

  #spawn (name: string, commandArguments: readonly string[]): void {
    this.#processes.set(name, startProgram(name, commandArguments, this.#folder))
  }

  async #startDaemon (daemon: TrialDaemon): Promise<void> {
    this.#spawn(daemon.name, ['serve', '--config', daemon.configFile])
    const entry = { address: daemon.linkAddress, region: daemon.dataCentre.region, dataCentre: daemon.dataCentre.name, leaving: false }
    await fetch(`http://${this.#layout.platform}/virtual-machines/${daemon.name}`, { method: 'PUT', body: JSON.stringify(entry), headers: { 'content-type': 'application/json' } })
  }

  async #runCommand (commandArguments: readonly string[]): Promise<string> {
    const { code, output } = await runCommand(commandArguments)
    if (code !== 0) throw new Error(`lavenderdoor ${commandArguments.join(' ')} exited with code ${code}: ${output}`)
    return output
  }

  async #sendRequests (callers: TrialCallers): Promise<void> {
    const running: Array<Promise<void>> = []
    for (let number = 0; number < requestCount; number++) {
      running.push(callers.send(this.#planRequest(number)))
      await sleep(-Math.log(1 - this.#randomness.fraction()) * 1_000 / arrivalsPerSecond)
    }
    await Promise.all(running)
  }

  #planRequest (number: number): PlannedRequest {
    const kindDraw = this.#randomness.fraction()
    const [harbour, guides, foresters] = organisations
    if (harbour === undefined || guides === undefined || foresters === undefined) throw new Error('the layout of the trial has fewer than three organisations')
    const sharedFields = { name: `r${number}`, streamed: false, difficulty: this.#randomness.fraction(), tokens: 20, turns: 0, nonIdempotentCall: undefined }
    if (kindDraw < 0.25) return { ...sharedFields, kind: 'tagging', organisation: this.#pick([harbour, guides, foresters]) }
    if (kindDraw < 0.60) return { ...sharedFields, kind: 'lookup', organisation: this.#pick([harbour, guides, foresters]), streamed: this.#randomness.fraction() < 0.9, tokens: 40 }
    if (kindDraw < 0.72) return { ...sharedFields, kind: 'summary', organisation: this.#pick([harbour, guides]), streamed: true, tokens: 80, turns: 3 }
    if (kindDraw < 0.80) return { ...sharedFields, kind: 'balance', organisation: harbour }
    if (kindDraw < 0.92) return { ...sharedFields, kind: 'refund', organisation: this.#pick([harbour, guides]), nonIdempotentCall: { service: 'ledger', path: '/refunds' } }
    return { ...sharedFields, kind: 'registration', organisation: this.#pick([harbour, foresters]), nonIdempotentCall: { service: 'register', path: '/registrations' } }
  }

  #pick<Value> (values: readonly Value[]): Value {
    const value = values[this.#randomness.integerBelow(values.length)]
    if (value === undefined) throw new Error('cannot choose a value from an empty list')
    return value
  }

  async #runEvents (): Promise<void> {
    const startedAt = Date.now()
    for (const { atSeconds, description, action } of this.#scheduledEvents()) {
      await sleep(startedAt + atSeconds * 1_000 - Date.now())
      console.log(`${((Date.now() - startedAt) / 1_000).toFixed(1).padStart(5)} s  ${description}`)
      await action()
    }
  }

  #scheduledEvents (): ScheduledEvent[] {
    const [first, second, third] = this.#layout.daemons
    if (first === undefined || second === undefined || third === undefined) throw new Error('the layout of the trial has fewer than three daemons')
    const teamOptions = ['--team', 'fleet', '--author', 'demo', '--platform', this.#layout.platform]
    const engine = this.#layout.endpoints.find(endpoint => endpoint.service === undefined)
    return [
      { atSeconds: 2, description: `roll out ${rolledOutModel}@2 to a quarter of new sessions`, action: async () => await this.#changeSettings(['version', 'roll-out', rolledOutModel, '1', '2', '--share', '0.25', ...teamOptions]) },
      { atSeconds: 5, description: `kill ${first.name}`, action: async () => { this.#killedDaemons.add(first.name); await this.#processes.get(first.name)?.kill() } },
      { atSeconds: 6, description: `restart ${first.name}`, action: async () => await this.#startDaemon(first) },
      { atSeconds: 8, description: `replace ${third.name} gracefully`, action: async () => await this.#replaceDaemon(third) },
      { atSeconds: 11, description: `mark ${engine?.name} as leaving`, action: async () => await this.#markLeaving(engine) },
      { atSeconds: 13, description: `roll out ${rolledOutModel}@2 to all new sessions`, action: async () => await this.#changeSettings(['version', 'roll-out', rolledOutModel, '1', '2', '--share', '1', ...teamOptions]) },
      { atSeconds: 15, description: `withdraw ${rolledOutModel}@1`, action: async () => await this.#withdrawVersion(`${rolledOutModel}@1`, teamOptions) }
    ]
  }

  async #replaceDaemon (daemon: TrialDaemon): Promise<void> {
    this.#stoppedDaemons.add(daemon.name)
    const processEnd = await this.#processes.get(daemon.name)?.stop()
    if (processEnd?.code !== 0) throw new Error(`${daemon.name} exited with ${processEnd?.code ?? processEnd?.signal} after a planned stop`)
    await this.#startDaemon(daemon)
  }

  async #markLeaving (engine: { readonly name: string, readonly address: string } | undefined): Promise<void> {
    if (engine === undefined) return
    await fetch(`http://${engine.address}/leave`, { method: 'POST' })
    this.#leavingEngines.push({ name: engine.name, at: Date.now() })
  }

  async #withdrawVersion (version: string, teamOptions: readonly string[]): Promise<void> {
    await this.#changeSettings(['version', 'withdraw', version, ...teamOptions])
    this.#withdrawals.push({ version, acceptedAt: Date.now() })
  }

  /** Changes the settings and waits until the new revision is in force at every daemon or the time limit has passed. */
  async #changeSettings (commandArguments: readonly string[]): Promise<void> {
    const output = await this.#runCommand(commandArguments)
    const acceptedAt = Date.now()
    const revision = Number(/revision (\d+)/.exec(output)?.[1])
    const lateDaemons = new Set(this.#layout.daemons)
    while (lateDaemons.size > 0 && Date.now() - acceptedAt < settingsPropagationLimitMilliseconds) {
      for (const daemon of lateDaemons) if (await fetchRevision(daemon) >= revision) lateDaemons.delete(daemon)
      await sleep(statusPollIntervalMilliseconds)
    }
    for (const daemon of lateDaemons) this.#lateSettings.push(`revision ${revision} was not in force at ${daemon.name} after ${settingsPropagationLimitMilliseconds} ms`)
    if (lateDaemons.size === 0) console.log(`         revision ${revision} in force at every daemon after ${Date.now() - acceptedAt} ms`)
  }

  async #report (callers: TrialCallers): Promise<number> {
    const table = new HttpTableService({ clock: new SystemClock(), address: this.#layout.platform, timeoutMilliseconds: 5_000 })
    const verification = await runCommand(['bill', 'verify', '--platform', this.#layout.platform])
    const engines = this.#layout.endpoints.filter(endpoint => endpoint.service === undefined)
    const services = this.#layout.endpoints.filter(endpoint => endpoint.service !== undefined)
    const engineRuns = new Map<string, EngineRun[]>()
    for (const engine of engines) engineRuns.set(engine.name, await fetchRecords<EngineRun>(engine.address))
    const serviceRuns = (await Promise.all(services.map(service => fetchRecords<ServiceRun>(service.address)))).flat()
    const violations = findViolations({
      observations: callers.observations,
      engineRuns: [...engineRuns.values()].flat(),
      serviceRuns,
      bills: (await readBillRecords(table)).unwrap(),
      billVerificationOutput: verification.code === 0 ? undefined : verification.output,
      withdrawals: this.#withdrawals,
      stoppedDaemons: this.#stoppedDaemons,
      killedDaemons: this.#killedDaemons,
      lateSettings: this.#lateSettings,
      leavingEngines: this.#leavingEngines.map(({ name, at }) => ({ name, at, runs: engineRuns.get(name) ?? [] }))
    })
    await table.close()
    printReport(callers, violations)
    return violations.length
  }
}

async function fetchRevision (daemon: TrialDaemon): Promise<number> {
  const response = await fetch(`http://${daemon.operatorAddress}/status`).catch(() => undefined)
  if (response === undefined) return 0
  const status = await response.json() as { settings: { revision: number } }
  return status.settings.revision
}

async function fetchRecords<Run> (address: string): Promise<Run[]> {
  const response = await fetch(`http://${address}/records`)
  return await response.json() as Run[]
}

function printReport (callers: TrialCallers, violations: readonly Violation[]): void {
  const kinds = [...new Set(callers.observations.map(observation => observation.kind))].sort()
  console.log('\nkind           requests  answered  not_run  unknown  median ms')
  for (const kind of kinds) printKind(kind, callers.observations.filter(observation => observation.kind === kind))
  const firstText = callers.firstTextMilliseconds
  console.log(`first text of streams: median ${quantile(firstText, 0.5)} ms, p95 ${quantile(firstText, 0.95)} ms`)
  console.log(`codes of refusals: ${JSON.stringify(countByName(callers.observations.flatMap(observation => observation.code ?? [])))}`)
  console.log(`guarantees checked: ${checkedGuarantees.length}`)
  for (const { guarantee, evidence } of violations) console.log(`violation: ${guarantee}: ${evidence}`)
  const { observations } = callers
  console.log(`demo: ${observations.length} requests, ${countOutcome(observations, 'answered')} answered completely, ${countOutcome(observations, 'not_run')} refused not_run, ${countUnknown(observations)} unknown, ${violations.length} violations`)
}

function printKind (kind: string, observations: readonly RequestObservation[]): void {
  const times = observations.filter(each => each.outcome === 'answered').map(each => each.endedAt - each.startedAt)
  const cells = [observations.length, countOutcome(observations, 'answered'), countOutcome(observations, 'not_run'), countUnknown(observations), quantile(times, 0.5)]
  console.log(`${kind.padEnd(15)}${cells.map((cell, index) => String(cell).padStart([8, 10, 9, 9, 11][index] ?? 0)).join('')}`)
}

function countOutcome (observations: readonly RequestObservation[], outcome: RequestObservation['outcome']): number {
  return observations.filter(each => each.outcome === outcome).length
}

/** The number of requests that were neither answered nor refused as `not_run`. */
function countUnknown (observations: readonly RequestObservation[]): number {
  return observations.length - countOutcome(observations, 'answered') - countOutcome(observations, 'not_run')
}

function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

function countByName (names: readonly string[]): Record<string, number> {
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
