/** One gateway of the soak: a VM whose process may end and start again, at one of two addresses, behind a proxy for its callers. */
import { GatewayProcess, allocateProcessHost } from '../../test/fakes/gatewayProcess.ts'
import { sleep } from '../demo/processes.ts'
import { readyPath } from '../../platform/index.ts'
import type { ProcessEnd } from '../trialProcess.ts'
import type { EndRecord } from './records.ts'

/** Time from SIGTERM to SIGKILL. */
export const graceSeconds = 6

const limits = { memory_mb: 210, max_fds: 2_212, link_mbps: 1_000 }
const callerPort = 8227
const readyPort = 8220
const linkPort = 8229
const endPollMilliseconds = 50
const readyPollMilliseconds = 50
const readyTimeoutMilliseconds = 15_000

export interface SoakGatewayOptions {
  readonly name: string
  readonly zone: string
  /** What the boot files of all gateways share. */
  readonly boot: Readonly<Record<string, unknown>>
  readonly programDirectory: string
  readonly logFolder: string
  readonly commandPrefix: readonly string[]
  /** Called when a process has started, and when it has ended. */
  readonly onStart: (processId: number) => void
  readonly onEnd: (processId: number) => void
  readonly onUnexpectedEnd: (end: EndRecord) => void
}

export class SoakGateway {
  readonly name: string
  readonly zone: string
  /** Of its proxy, for callers. */
  callerAddress = ''
  /** Of its proxy before the store. */
  storeAddress = ''
  seeds: readonly string[] = []
  readonly #options: SoakGatewayOptions
  readonly #hosts = [allocateProcessHost(), allocateProcessHost()] as const
  #hostIndex: 0 | 1 = 0
  #process: GatewayProcess | undefined
  #isEndExpected = false
  #isReady = false
  #isRetired = false
  #frozenMilliseconds = 0

  constructor (options: SoakGatewayOptions) {
    this.name = options.name
    this.zone = options.zone
    this.#options = options
  }

  get host (): string {
    return this.#hosts[this.#hostIndex]
  }

  /** Where it serves callers itself. */
  get ownAddress (): string {
    return `${this.host}:${callerPort}`
  }

  get linkAddress (): string {
    return `${this.host}:${linkPort}`
  }

  get isRunning (): boolean {
    return this.#process?.isRunning ?? false
  }

  get memoryBytes (): number {
    return this.#process?.memoryBytes ?? 0
  }

  get peakMemoryBytes (): number {
    return this.#process?.peakMemoryBytes ?? 0
  }

  /** For how long its process has been ready to run without a processor; 0 if none runs. */
  get processorWaitMilliseconds (): number {
    return this.#process?.processorWaitMilliseconds ?? 0
  }

  /** Starts a process, unless one runs, and waits until it is ready. */
  async start (): Promise<void> {
    if (this.isRunning || this.#isRetired) return
    const { name, zone, boot, programDirectory, logFolder, commandPrefix, onStart, onEnd, onUnexpectedEnd } = this.#options
    const started = new GatewayProcess(programDirectory, this.host, this.storeAddress, limits, this.seeds, {
      name, graceSeconds, logFolder, commandPrefix, boot: { ...boot, zone }
    })
    this.#process = started
    this.#isEndExpected = false
    this.#isReady = false
    onStart(started.pid)
    started.ended.then(end => {
      onEnd(started.pid)
      if (!this.#isExpected(end)) onUnexpectedEnd({ type: 'end', process: name, at: Date.now(), ...end })
    })
    await waitUntilReady(started)
    this.#isReady = this.#process === started
  }

  /** The next process is started at the other address; nothing changes while one runs. */
  changeHost (): void {
    if (this.isRunning) return
    this.#hostIndex = this.#hostIndex === 0 ? 1 : 0
  }

  /** Sends SIGHUP, if the process is ready: before its program has begun, the signal would end it. */
  reload (): void {
    if (this.#isReady) this.#process?.signal('SIGHUP')
  }

  /** Holds the process up. */
  async freeze (milliseconds: number): Promise<void> {
    this.#frozenMilliseconds += milliseconds
    await this.#process?.holdUp(milliseconds)
  }

  /**
   * Stops the process as planned.
   *
   * @returns whether it ended within its grace, not counting the time for which it was held up or waited for a processor
   */
  async stop (): Promise<boolean> {
    const stopped = this.#process
    if (stopped === undefined || !stopped.isRunning) return true
    this.#isEndExpected = true
    const ownMilliseconds = () => performance.now() - this.#frozenMilliseconds - stopped.processorWaitMilliseconds
    const endsAt = ownMilliseconds() + graceSeconds * 1_000
    stopped.signal('SIGTERM')
    const hasTimeLeft = () => ownMilliseconds() < endsAt
    while (stopped.isRunning && hasTimeLeft()) await Promise.race([stopped.ended, sleep(endPollMilliseconds)])
    const hasEnded = !stopped.isRunning
    if (!hasEnded) await this.kill()
    return hasEnded
  }

  async kill (): Promise<void> {
    this.#isEndExpected = true
    this.#process?.signal('SIGKILL')
    await this.#process?.ended
  }

  /** Ends it for good. */
  async retire (): Promise<void> {
    this.#isRetired = true
    await this.kill()
  }

  #isExpected ({ code, signal }: ProcessEnd): boolean {
    // Before its program has begun, a process ends at SIGTERM by the system's own rule.
    const isByOrder = code === 0 || signal === 'SIGKILL' || (signal === 'SIGTERM' && !this.#isReady)
    return this.#isEndExpected && isByOrder
  }
}

/**
 * Waits until a gateway answers that it is ready, or has been ended by another fault.
 *
 * @throws if neither comes within 15 s
 */
async function waitUntilReady (started: GatewayProcess): Promise<void> {
  const endsAt = performance.now() + readyTimeoutMilliseconds
  while (started.isRunning) {
    const answer = await fetch(`http://${started.host}:${readyPort}${readyPath}`).catch(() => undefined)
    if (answer?.ok) return
    if (performance.now() > endsAt) throw new Error(`the gateway at ${started.host} was not ready within ${readyTimeoutMilliseconds} ms`)
    await sleep(readyPollMilliseconds)
  }
}
