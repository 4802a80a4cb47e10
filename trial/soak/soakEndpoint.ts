/** One endpoint of the soak: its process, its proxy, and the runs that have started there and not ended. */
import { sleep } from '../demo/processes.ts'
import type { EndpointFault } from './faults.ts'
import type { EndpointRoleOptions } from './endpointRole.ts'
import { type EndpointOrder, OrderedProcess } from './orders.ts'
import { type EndRecord, RunEnd, type RunRecord, type RunStartRecord } from './records.ts'

export interface SoakEndpointOptions extends Omit<EndpointRoleOptions, 'identity'> {
  readonly name: string
  /** The command of a process with this role and these options. */
  readonly command: (options: EndpointRoleOptions) => readonly string[]
  readonly logFolder: string
  readonly onRecord: (record: RunRecord | RunStartRecord) => void
  /** Opens the proxy, or sends it to another address, and tells the address of the proxy. */
  readonly openProxy: (endpoint: string, target: string) => Promise<string>
  readonly onUnexpectedEnd: (end: EndRecord) => void
}

/** Lines that the process had written may be read after its end. */
const lastLineMilliseconds = 200

export class SoakEndpoint {
  readonly name: string
  readonly service: string
  readonly softwareVersion: string
  readonly #options: SoakEndpointOptions
  readonly #runs = new Map<string, RunStartRecord>()
  #process: OrderedProcess<EndpointOrder> | undefined
  #incarnation = 0
  #isEndExpected = false
  #isRetired = false
  #hasProxy = false

  constructor (options: SoakEndpointOptions) {
    this.name = options.name
    this.service = options.service
    this.softwareVersion = options.softwareVersion
    this.#options = options
  }

  get isRunning (): boolean {
    return this.#process?.isRunning ?? false
  }

  /** Whether its version has been withdrawn. */
  get isRetired (): boolean {
    return this.#isRetired
  }

  /** Whether faults may be done to it and its link: its proxy is open, and its version in use. */
  get isInService (): boolean {
    return this.#hasProxy && !this.#isRetired
  }

  /** The identity of its current process. */
  get identity (): string {
    return `${this.name}.${this.#incarnation}`
  }

  /** Starts a process under a new identity, unless one runs, and registers it. */
  async start (): Promise<void> {
    if (this.isRunning || this.#isRetired) return
    const { command, logFolder, openProxy, onUnexpectedEnd, onRecord, ...role } = this.#options
    this.#incarnation++
    this.#isEndExpected = false
    const started = new OrderedProcess<EndpointOrder>({
      name: this.name,
      command: command({ ...role, identity: this.identity }),
      logFolder,
      onLine: line => this.#read(line)
    })
    this.#process = started
    started.ended.then(end => {
      setTimeout(() => this.#endRuns(), lastLineMilliseconds)
      if (!this.#isEndExpected) onUnexpectedEnd({ type: 'end', process: this.name, at: Date.now(), ...end })
    })
    try {
      const address = await openProxy(this.name, String(await started.ready))
      this.#hasProxy = true
      await started.order({ order: 'register', address })
    } catch (error) {
      // Another fault may end it while it starts.
      if (started.isRunning || !this.#isEndExpected) throw error
    }
  }

  async cause (fault: EndpointFault, milliseconds: number): Promise<void> {
    await this.#order({ order: 'fault', fault, milliseconds })
  }

  /** Lets it report that it leaves. */
  async drain (): Promise<void> {
    await this.#order({ order: 'drain' })
  }

  /** Holds the process up. */
  async freeze (milliseconds: number): Promise<void> {
    const frozen = this.#process
    frozen?.signal('SIGSTOP')
    await sleep(milliseconds)
    frozen?.signal('SIGCONT')
  }

  /** Ends it for good. */
  async retire (): Promise<void> {
    this.#isRetired = true
    await this.kill()
  }

  async kill (): Promise<void> {
    this.#isEndExpected = true
    await this.#process?.kill()
  }

  /** An order to an endpoint that ends meanwhile is void. */
  async #order (order: EndpointOrder): Promise<void> {
    await this.#process?.order(order).catch(() => undefined)
  }

  #read (line: string): void {
    const record = JSON.parse(line) as RunRecord | RunStartRecord
    const key = `${record.request} ${record.startedAt}`
    if (record.type === 'run_started') this.#runs.set(key, record)
    else this.#runs.delete(key)
    this.#options.onRecord(record)
  }

  /** The process has ended, and with it the runs that it had started. */
  #endRuns (): void {
    const endedAt = Date.now() - lastLineMilliseconds
    const { softwareVersion } = this
    const isOver = (run: RunStartRecord) => run.startedAt <= endedAt
    for (const run of [...this.#runs.values()].filter(isOver)) this.#options.onRecord({ ...run, type: 'run', softwareVersion, endedAt, end: RunEnd.Faulty })
    for (const [key, run] of this.#runs) if (isOver(run)) this.#runs.delete(key)
  }
}
