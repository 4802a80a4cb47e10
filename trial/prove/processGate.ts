/**
 * The life of one daemon's process: it runs, is frozen between two of its steps, or is dead. Its clock,
 * its way to the store and its links pass the gate before and after each step, so a frozen process
 * wakes late where it stood, and a dead one never sees a reply.
 */
import { type Clock, Ok, type Result } from '../../src/contract/index.ts'
import type { DaemonDependencies } from '../../src/daemon/index.ts'
import type { LinkFailure, LinkIdentity, MessageType, Peer } from '../../src/link/index.ts'
import type { TableService } from '../../src/store/index.ts'
import type { FakeLink } from '../../test/fakes/fakeLink.ts'

/** Whether a process runs. */
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

  /** Fulfilled while the process runs; never once it is dead. */
  async waitUntilRunning (): Promise<void> {
    while (this.#thawPromise !== undefined) await this.#thawPromise
    if (this.#isDead) await neverSettles()
  }

  /** Takes a step of the process. */
  async runStep<Value> (work: () => Promise<Value>): Promise<Value> {
    await this.waitUntilRunning()
    const value = await work()
    await this.waitUntilRunning()
    return value
  }
}

/** A process's clock. */
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
}

/** A process's way to the store. */
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

/** A process's links. */
export class GatedLink implements DaemonLink {
  readonly self: LinkIdentity
  readonly #link: FakeLink
  readonly #gate: ProcessGate

  constructor (link: FakeLink, gate: ProcessGate) {
    this.self = link.self
    this.#link = link
    this.#gate = gate
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
