/** One soak from its start to its findings. */
import type { StandInConfiguration } from '../../platform/standin/index.ts'
import { CallerProcesses, callerProgramIn } from './callerProcesses.ts'
import type { SoakRoute } from './callerPlan.ts'
import { findAll } from './checks.ts'
import { planFaults } from './faultPlan.ts'
import { FaultRunner } from './faultRunner.ts'
import type { Finding } from './finding.ts'
import type { SoakRecord } from './records.ts'
import type { SoakReport } from './soakReport.ts'
import { SoakView } from './soakView.ts'
import { SoakWorld, type SoakWorldOptions, bundle, worldBounds } from './soakWorld.ts'

export interface SoakOptions extends SoakWorldOptions {
  /** How long callers call. */
  readonly seconds: number
  /** Called with each finding while the soak runs. */
  readonly onFinding?: (finding: Finding) => void
}

const callerProcessCount = 3
const callersPerProcess = 12
const tellIntervalMilliseconds = 200
const sampleIntervalMilliseconds = 1_000
const checkIntervalMilliseconds = 5_000
/** Faults are recorded when they are over, and runs when they have ended: what is younger isn't checked yet. */
const settleMilliseconds = 10_000
const bytesPerMegabyte = 1024 * 1024
const memoryMegabytes = 210

/**
 * @example
 * const { findings } = await new SoakRun({ seed: 7, seconds: 30, gateways: 8 }).run()
 */
export class SoakRun {
  readonly #options: SoakOptions
  readonly #routes = new Map<string, SoakRoute>()
  readonly #findings = new Map<string, Finding>()

  constructor (options: SoakOptions) {
    this.#options = options
  }

  async run (): Promise<SoakReport> {
    const { seed, seconds } = this.#options
    const world = await SoakWorld.start(this.#options)
    const program = callerProgramIn(world.logFolder)
    bundle('trial/soak/callerProcess.ts', program)
    const endsAt = Date.now() + seconds * 1_000
    const callers = new CallerProcesses({
      seed, endsAt, program, processCount: callerProcessCount, callersPerProcess, logFolder: world.logFolder, onRecord: record => world.record(record)
    })
    const timers = [
      setInterval(() => this.#tell(world, callers), tellIntervalMilliseconds),
      setInterval(() => sample(world, callers), sampleIntervalMilliseconds),
      setInterval(() => this.#check(world.records, Date.now() - settleMilliseconds), checkIntervalMilliseconds)
    ]
    try {
      await Promise.all([callers.ended, FaultRunner.run(planFaults({ seed, seconds }), world)])
    } finally {
      timers.forEach(timer => clearInterval(timer))
      await callers.kill()
      await world.close()
    }
    this.#check(world.records, Infinity)
    return { findings: [...this.#findings.values()], records: world.records, logFolder: world.logFolder }
  }

  #tell ({ gateways, configuration }: SoakWorld, callers: CallerProcesses): void {
    const routes = routesOf(configuration)
    for (const route of routes) if (!this.#routes.has(route.prefix)) this.#routes.set(route.prefix, route)
    const running = gateways.filter(({ isRunning }) => isRunning)
    callers.tell({ gateways: running.map(({ name, callerAddress }) => ({ name, address: callerAddress })), routes, keys: configuration.keys })
  }

  /** Checks what had ended by a time. */
  #check (records: readonly SoakRecord[], endedBy: number): void {
    const settled = records.filter(record => record.type !== 'request' || record.endedAt <= endedBy)
    const bounds = { ...worldBounds, routes: [...this.#routes.values()], memoryBytes: memoryMegabytes * bytesPerMegabyte }
    for (const finding of findAll(new SoakView(settled, bounds))) {
      const key = `${finding.check} ${finding.subject} ${finding.from}`
      if (!this.#findings.has(key)) this.#options.onFinding?.(finding)
      this.#findings.set(key, finding)
    }
  }
}

/** Records the memory of gateways, and for how long processes have waited for a processor. */
function sample (world: SoakWorld, callers: CallerProcesses): void {
  const at = Date.now()
  for (const [gateway, bytes] of world.memoryBytes) world.record({ type: 'memory', gateway, at, bytes })
  const waits = [...world.processorWaits, ...callers.processorWaits]
  for (const [process, milliseconds] of waits) world.record({ type: 'processor_wait', process, at, milliseconds })
}

/** The routes of a configuration, as callers see them. */
function routesOf ({ document }: StandInConfiguration): readonly SoakRoute[] {
  return document.routes.map(route => {
    const { prefix, timeout_ms: timeoutMilliseconds } = route
    const isStream = route.route_type === 'streaming'
    const isResumable = 'resumable' in route && route.resumable === true
    return { prefix, isStream, isResumable, isRepeatable: route.route_type === 'idempotent' || isResumable, timeoutMilliseconds }
  })
}
