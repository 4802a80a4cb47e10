/** Callers that use connections in every way: new and kept ones, whole requests and parts, alone and ahead of their answers. */
import type { Randomness } from '../../src/contract/index.ts'
import { type ChangingWorld, shortTimeoutMilliseconds } from './changingWorld.ts'
import { ConnectionState, RawCaller, pause, requestHead } from './rawCaller.ts'
import type { RawResponse } from './responseReader.ts'

const prefixes = ['/balance/', '/release/', '/open/', '/query/']
const oncePrefix = '/release/'
const bursts = [1, 1, 1, 2, 5, 20]
const patienceMilliseconds = 9_000
/** Statuses that promise that a request was not run, and never will be. */
const notRunStatuses = new Set([408, 421, 429, 503])
const refusalStatuses = new Set([401, 404, 413, 431, ...notRunStatuses])
/** The most requests on one connection, by number of bursts. */
const maximumBursts = 6

interface SentRequest {
  readonly id: string
  readonly prefix: string
  readonly head: string
  readonly body: string
}

export class KeptCallers {
  /** What no caller may see. */
  readonly findings: string[] = []
  /** Answers by status. */
  readonly statuses = new Map<number, number>()
  readonly #world: ChangingWorld
  readonly #randomness: Randomness
  #sentCount = 0

  constructor (world: ChangingWorld, randomness: Randomness) {
    this.#world = world
    this.#randomness = randomness
  }

  /** One caller after the other opens a connection, for a time. */
  async run (milliseconds: number): Promise<void> {
    for (const endsAt = performance.now() + milliseconds; performance.now() < endsAt;) {
      const host = this.#world.hosts[this.#randomness.integerBelow(this.#world.hosts.length)]!
      const caller = await RawCaller.connect(host).catch(() => undefined)
      if (caller !== undefined) await this.#useConnection(caller, host)
      caller?.close()
      await pause(10)
    }
  }

  async #useConnection (caller: RawCaller, host: string): Promise<void> {
    let answeredBefore = 0
    for (let burst = 0; burst < maximumBursts; burst++) {
      const requests = Array.from({ length: bursts[this.#randomness.integerBelow(bursts.length)]! }, () => this.#request())
      const sentAt = performance.now()
      for (const { head, body } of requests) await this.#write(caller, head, body)
      await Promise.race([caller.until(answeredBefore + requests.length), pause(patienceMilliseconds)])
      const responses = caller.responses.slice(answeredBefore)
      answeredBefore += requests.length
      const isClosing = responses.some(({ head }) => /^connection: close/im.test(head))
      requests.forEach((request, index) => this.#check(request, responses[index], { host, isClosing, milliseconds: performance.now() - sentAt, state: caller.state }))
      const announcedMilliseconds = Number(/^keep-alive: timeout=(\d+)/im.exec(responses.at(-1)?.head ?? '')?.[1] ?? 0) * 1_000
      const idleMilliseconds = this.#randomness.integerBelow(600)
      if (isClosing || responses.length < requests.length || idleMilliseconds > announcedMilliseconds * 0.8) return
      await pause(idleMilliseconds)
      if (caller.state !== ConnectionState.Open) return
    }
  }

  #request (): SentRequest {
    const id = `r-${this.#sentCount++}`
    const prefix = prefixes[this.#randomness.integerBelow(prefixes.length)]!
    const body = 'b'.repeat(this.#randomness.integerBelow(400))
    const padding = this.#randomness.fraction() < 0.2 ? `padding: ${'p'.repeat(1_200)}\r\n` : ''
    const headers = `${padding}token-usage: 10,10\r\nprefix-hash: a1:10\r\n`
    return { id, prefix, body, head: requestHead(`${prefix}1`, { id, bodyLength: body.length, timeoutMilliseconds: patienceMilliseconds, headers }) }
  }

  /** Whole, or with a pause in the head or before the body. */
  async #write (caller: RawCaller, head: string, body: string): Promise<void> {
    if (this.#randomness.fraction() < 0.7) return caller.write(head + body)
    const cut = this.#randomness.fraction() < 0.5 ? head.length : this.#randomness.integerBelow(head.length)
    caller.write(head.slice(0, cut))
    await pause(this.#randomness.integerBelow(200))
    caller.write(head.slice(cut) + body)
  }

  #check ({ id, prefix }: SentRequest, response: RawResponse | undefined, seen: { readonly host: string, readonly isClosing: boolean, readonly milliseconds: number, readonly state: string }): void {
    const runs = this.#world.runsOf(id)
    const tell = (what: string) => this.findings.push(`${id} ${prefix} ${what}: ${JSON.stringify({ ...seen, status: response?.status, runs })}`)
    if (prefix === oncePrefix && runs > 1) tell('ran twice')
    if (response === undefined) {
      // What crosses an announced close, or that of an idle connection in a stop, and was not passed on may be sent again.
      const mayCrossClose = seen.isClosing || this.#world.isStopping(seen.host)
      if (!mayCrossClose || runs > 0) tell('neither answered nor refused')
      return
    }
    this.statuses.set(response.status, (this.statuses.get(response.status) ?? 0) + 1)
    if (response.status !== 200 && !refusalStatuses.has(response.status) && seen.milliseconds < shortTimeoutMilliseconds) tell('failed')
    if (prefix === oncePrefix && runs > 0 && notRunStatuses.has(response.status)) tell('refused and run')
  }
}
