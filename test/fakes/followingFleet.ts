/**
 * A fleet on virtual time that follows one store, directly and through relays. The connections to the store and those
 * between gateways can fall silent, each kind at a moment of its own; connections opened after it work.
 */
import { type Clock, Err, Ok, type Result, SeededRandomness } from '../../src/contract/index.ts'
import { Log } from '../../src/observe/index.ts'
import { FeedFailure, RelayFollower, ReplicaFollower, ReplicaRelay, type TableChanges, type TableFeed, type TableSnapshot, divideNewsTime, feedCallTimeout } from '../../src/replica/index.ts'
import { FakeLinkNetwork } from './fakeLink.ts'
import { ManualClock } from './manualClock.ts'

const tables = ['orders', 'endpoints']
const relayCount = 3
const minimumFleetSize = 16

interface FakeConnection {
  isSilent: boolean
}

/** The connections of one gateway to the store. An idle one is used again, whether it is silent or not, until it is renewed. */
class FakeStoreConnections {
  /** How often they were renewed. */
  renewals = 0
  readonly #open = new Set<FakeConnection>()
  #idle: FakeConnection[] = []
  #retired = new Set<FakeConnection>()

  take (): FakeConnection {
    const connection = this.#idle.pop() ?? { isSilent: false }
    this.#open.add(connection)
    return connection
  }

  release (connection: FakeConnection): void {
    if (!this.#retired.has(connection)) this.#idle.push(connection)
  }

  renew (): void {
    this.renewals++
    this.#retired = new Set(this.#open)
    this.#idle = []
  }

  silence (): void {
    for (const connection of this.#open) connection.isSilent = true
  }
}

/** One row in every table, whose version is the store's. */
class FakeStore {
  readonly callTimes: number[] = []
  version = 1
  replyMilliseconds = 5
  readonly #clock: Clock
  readonly #connections: FakeStoreConnections[] = []
  #wake: () => void = () => undefined
  #changed = new Promise<void>(resolve => { this.#wake = resolve })

  constructor (clock: Clock) {
    this.#clock = clock
  }

  change (): void {
    this.version++
    this.#wake()
    this.#changed = new Promise<void>(resolve => { this.#wake = resolve })
  }

  silenceConnections (): void {
    for (const connections of this.#connections) connections.silence()
  }

  feed (): TableFeed {
    const connections = new FakeStoreConnections()
    this.#connections.push(connections)
    return {
      snapshot: async (): Promise<Result<TableSnapshot, FeedFailure>> => await this.#call(connections, 0, async () => this.#rowsAfter(0)),
      changes: async (_table, after, waitMilliseconds): Promise<Result<TableChanges, FeedFailure>> => await this.#call(connections, waitMilliseconds, async () => {
        await this.#waitForChange(after, waitMilliseconds)
        return { ...this.#rowsAfter(after), hasGap: false }
      }),
      renewConnections: () => connections.renew()
    }
  }

  /** Ends a call whose reply is overdue, and renews the connections that it used. */
  async #call<Reply> (connections: FakeStoreConnections, waitMilliseconds: number, reply: () => Promise<Reply>): Promise<Result<Reply, FeedFailure>> {
    const { renewals } = connections
    const timeout = feedCallTimeout(this.#clock, waitMilliseconds)
    const overdue = new Promise<Result<Reply, FeedFailure>>(resolve => {
      timeout.signal.addEventListener('abort', () => {
        if (connections.renewals === renewals) connections.renew()
        resolve(Err(new FeedFailure('overdue')))
      })
    })
    const outcome = await Promise.race([this.#answer(connections, reply), overdue])
    timeout.cancel()
    return outcome
  }

  async #answer<Reply> (connections: FakeStoreConnections, reply: () => Promise<Reply>): Promise<Result<Reply, FeedFailure>> {
    this.callTimes.push(this.#clock.now())
    const connection = connections.take()
    if (connection.isSilent) return await neverSettles()
    const value = await reply()
    await this.#clock.sleep(this.replyMilliseconds)
    if (connection.isSilent) return await neverSettles()
    connections.release(connection)
    return Ok(value)
  }

  async #waitForChange (after: number, waitMilliseconds: number): Promise<void> {
    if (this.version > after) return
    const settled = new AbortController()
    await Promise.race([this.#changed, this.#clock.sleep(waitMilliseconds, settled.signal)])
    settled.abort()
  }

  #rowsAfter (after: number): TableSnapshot {
    const rows = this.version > after ? [{ key: 'row', version: this.version, bytes: Buffer.from('x') }] : []
    return { rows, epoch: 0, version: this.version, storeTime: this.#clock.now() }
  }
}

export interface FollowingFleet {
  readonly clock: ManualClock
  readonly network: FakeLinkNetwork
  readonly store: FakeStore
  /** The oldest version of any table at any gateway. */
  oldestVersion (): number
  stop (): void
}

export interface FollowingFleetOptions {
  readonly size: number
  readonly hasRelays: boolean
  /** Time within which a change must be in force. */
  readonly allowedMilliseconds: number
  readonly seed: number
}

/**
 * Starts a fleet.
 *
 * @example
 * const fleet = startFollowingFleet({ size: 20, hasRelays: true, allowedMilliseconds: 4_000, seed: 1 })
 */
export function startFollowingFleet ({ size, hasRelays, allowedMilliseconds, seed }: FollowingFleetOptions): FollowingFleet {
  const clock = new ManualClock()
  const network = new FakeLinkNetwork(clock, new SeededRandomness(seed))
  const store = new FakeStore(clock)
  const log = new Log('error')
  const relayAddresses = hasRelays ? Array.from({ length: Math.min(size, relayCount) }, (_, index) => `gateway-${index}`) : []
  const budget = () => divideNewsTime(allowedMilliseconds)
  const gateways = Array.from({ length: size }, (_, index) => {
    const name = `gateway-${index}`
    const link = network.linkFor({ name, address: name, place: { region: 'coast', dataCentre: `zone-${index}` }, rack: '', incarnation: 1 })
    const follower: ReplicaFollower = new ReplicaFollower({
      feed: store.feed(),
      tables,
      budget,
      mayBeRelay: () => relay.isInUse || relayAddresses.includes(name),
      clock,
      randomness: new SeededRandomness(seed + index),
      log,
      onChange: () => relay.notifyChange()
    })
    const relay = new ReplicaRelay({ link, follower, tables, gatewayCount: () => size, clock })
    const relayFollower = new RelayFollower({
      link, follower, relay, tables, relayAddresses: () => relayAddresses, regionOf: () => 'coast', startUpReplyMilliseconds: 120, gatewayCount: () => size, minimumFleetSize, budget, clock, log
    })
    relayFollower.start()
    follower.start()
    return { follower, relayFollower }
  })
  return {
    clock,
    network,
    store,
    oldestVersion: () => Math.min(...gateways.flatMap(({ follower }) => tables.map(table => follower.replica(table).version))),
    stop: () => gateways.forEach(({ follower, relayFollower }) => { follower.stop(); relayFollower.stop() })
  }
}

function neverSettles (): Promise<never> {
  return new Promise(() => undefined)
}
