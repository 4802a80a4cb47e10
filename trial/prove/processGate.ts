/**
 * Simulates the state of one daemon's process: running, frozen between two steps, or dead. The clock,
 * the store connection and the links of the process wait at the gate before and after each step, so a
 * frozen process continues late from where it stopped and a dead one never receives a reply.
 */
import { type Clock, Ok, type Result } from '../../src/contract/index.ts'
import type { DaemonDependencies } from '../../src/daemon/index.ts'
import type { LinkFailure, LinkIdentity, MessageType, Peer } from '../../src/link/index.ts'
import type { TableService } from '../../src/store/index.ts'
import type { FakeLink } from '../../test/fakes/fakeLink.ts'

/** Blocks the steps of a process that is frozen or dead. */
export class ProcessGate {
  #isDead = false
  #thawPromise: Promise<void> | undefined
  #resolveThaw: () => void = () => {}

  get isDead (): boolean {
    return this.#isDead
  }

  get isFrozen (): boolean {
    return this.#thawPromise !== undefined
  }

  kill (): void {
    this.#isDead = true
  }

  freeze (): void {
    this.#thawPromise ??= new Promise(resolve => { this.#resolveThaw = resolve })
  }

  thaw (): void {
    this.#thawPromise = undefined
    this.#resolveThaw()
  }

  /** Resolves when the process is running; never once it is dead. */
  async waitUntilRunning (): Promise<void> {
    while (this.#thawPromise !== undefined) await this.#thawPromise
    if (this.#isDead) await neverSettles()
  }

  /** Runs one step, waiting before and after it until the process is running. */
  async runStep<Value> (work: () => Promise<Value>): Promise<Value> {
    await this.waitUntilRunning()
    const value = await work()
    await this.waitUntilRunning()
    return value
  }
}

/** The clock of a process. */
export class GatedClock implements Clock {
  readonly #clock: Clock
  readonly #gate: ProcessGate

  constructor (clock: Clock, gate: ProcessGate) {
    this.#clock = clock
    this.#gate = gate
  }

  now (): number {
    return this.#clock.now()
  }

  async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    await this.#clock.sleep(milliseconds, signal)
    await this.#gate.waitUntilRunning()
  }

  schedule (milliseconds: number, callback: () => void): () => void {
    let isCancelled = false
    const callOnceRunning = async () => {
      await this.#gate.waitUntilRunning()
      if (!isCancelled) callback()
    }
    const cancel = this.#clock.schedule(milliseconds, () => { callOnceRunning().catch(() => undefined) })
    return () => {
      isCancelled = true
      cancel()
    }
  }

  scheduleAfterInput (milliseconds: number, callback: () => void): () => void {
    return this.schedule(milliseconds, callback)
  }

  heldUpMilliseconds (): number {
    return this.#clock.heldUpMilliseconds()
  }
}

/** The store connection of a process. */
export class GatedTable implements TableService {
  readonly #table: TableService
  readonly #gate: ProcessGate

  constructor (table: TableService, gate: ProcessGate) {
    this.#table = table
    this.#gate = gate
  }

  read (...args: Parameters<TableService['read']>): ReturnType<TableService['read']> {
    return this.#gate.runStep(() => this.#table.read(...args))
  }

  scan (...args: Parameters<TableService['scan']>): ReturnType<TableService['scan']> {
    return this.#gate.runStep(() => this.#table.scan(...args))
  }

  transact (...args: Parameters<TableService['transact']>): ReturnType<TableService['transact']> {
    return this.#gate.runStep(() => this.#table.transact(...args))
  }
}

type DaemonLink = DaemonDependencies['link']

/** The links of a process. */
export class GatedLink implements DaemonLink {
  readonly self: LinkIdentity
  readonly #link: FakeLink
  readonly #gate: ProcessGate

  constructor (link: FakeLink, gate: ProcessGate) {
    this.self = link.self
    this.#link = link
    this.#gate = gate
  }

  connect (peer: Peer): Promise<void> {
    return this.#gate.runStep(() => this.#link.connect(peer))
  }

  request<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number): Promise<Result<Reply, LinkFailure>> {
    return this.#gate.runStep(() => this.#link.request(peer, type, body, timeoutMilliseconds))
  }

  handle<Body, Reply> (type: MessageType<Body, Reply>, handler: (body: Body, from: LinkIdentity) => Promise<Reply>): void {
    this.#link.handle(type, (body, from) => this.#gate.runStep(() => handler(body, from)))
  }

  async listen () {
    return Ok(undefined)
  }

  async close (): Promise<void> {}
}

function neverSettles (): Promise<never> {
  return new Promise(() => {})
}
