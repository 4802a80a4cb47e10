/** The faults of a round: each kind, how it is brought about and how long it lasts. */
import type { Randomness } from '../../src/contract/index.ts'
import type { ExchangeFate, PieceFate } from '../../test/fakes/fakeNetwork.ts'
import { type Disturbances, everywhere } from './disturbances.ts'
import { type Fleet, type FleetDaemon, places } from './fleet.ts'
import { CandidateState, type Operators } from './operators.ts'
import { CallerEnd, type Traffic } from './traffic.ts'

/** After a fault is over daemons have this long to come right. */
const recoveryMilliseconds = 8_000
/** A change is known everywhere after this. */
const spreadMilliseconds = 4_000
const mostKillsInRound = 2
const replacementMilliseconds = 2_000
const leavingMilliseconds = 15_000

/** Brings faults about. */
export class Faults {
  readonly counts = new Map<string, number>()
  /** Endpoints that said they were leaving, and when. */
  readonly leaving: { readonly endpoint: string, readonly from: number, readonly to: number }[] = []
  readonly #fleet: Fleet
  readonly #traffic: Traffic
  readonly #operators: Operators
  readonly #disturbances: Disturbances
  readonly #randomness: Randomness
  #kills = 0

  constructor (parts: { readonly fleet: Fleet, readonly traffic: Traffic, readonly operators: Operators, readonly disturbances: Disturbances, readonly randomness: Randomness }) {
    this.#fleet = parts.fleet
    this.#traffic = parts.traffic
    this.#operators = parts.operators
    this.#disturbances = parts.disturbances
    this.#randomness = parts.randomness
    this.#fleet.engines.freezeDaemon = (name, milliseconds) => this.#freezeInOrder(name, milliseconds)
  }

  /** Begins a round: something small befalls single messages all the time. */
  beginRound (): void {
    this.#kills = 0
    this.leaving.length = 0
    this.#fleet.services.faultShare = 0.15
    this.#fleet.engines.frozenOrderShare = 0.2
    this.#fleet.engines.network.script = () => this.#exchangeFate()
  }

  /** Ends a round: everything is healed. */
  endRound (): void {
    this.#fleet.heal()
    this.#fleet.weather.isDown = false
    this.#fleet.weather.lostShare = 0
    this.#fleet.weather.slowness = 5
    this.#fleet.services.faultShare = 0
    this.#fleet.engines.frozenOrderShare = 0
    this.#fleet.engines.network.script = () => ({})
    for (const daemon of this.#fleet.daemons) this.#thaw(daemon)
    for (const name of this.#fleet.engineNames) this.#fleet.engines.comeBack(name)
  }

  /** Brings one fault about. */
  async strike (): Promise<void> {
    const kinds: readonly (() => Promise<void>)[] = [
      () => this.#kill(), () => this.#freeze(), () => this.#replace(), () => this.#replace(), () => this.#cut(), () => this.#cutAndHalt(), () => this.#cutAndHalt(),
      () => this.#storeDown(), () => this.#storeSlow(), () => this.#storeLossy(), () => this.#race(),
      () => this.#set(CandidateState.Withdrawn), () => this.#set(CandidateState.Halted), () => this.#set(CandidateState.Open),
      () => this.#leave(), () => this.#silence(), () => this.#silence()
    ]
    await kinds[this.#randomness.below(kinds.length)]?.()
  }

  async #kill (): Promise<void> {
    const daemon = this.#anyDaemon()
    if (daemon === undefined || daemon.isStopping || this.#kills >= mostKillsInRound) return
    this.#count('kill')
    this.#kills += 1
    this.#fleet.kill(daemon)
    this.#traffic.gone(daemon, CallerEnd.Lost)
    await this.#fleet.clock.sleep(replacementMilliseconds)
    await this.#start(daemon)
  }

  async #freeze (): Promise<void> {
    const daemon = this.#anyDaemon()
    if (daemon === undefined) return
    this.#count('freeze')
    await this.#freezeFor(daemon, 1_000 + this.#randomness.below(14_000))
  }

  #freezeInOrder (name: string, length: number): void {
    const daemon = this.#fleet.daemons.find(candidate => candidate.name === name)
    if (daemon === undefined) return
    this.#count('freeze_in_order')
    this.#freezeFor(daemon, length)
  }

  async #freezeFor (daemon: FleetDaemon, length: number): Promise<void> {
    this.#disturb(daemon.name, length)
    daemon.gate.freeze()
    this.#fleet.network.freeze(daemon.name)
    await this.#fleet.clock.sleep(length)
    this.#thaw(daemon)
  }

  async #replace (): Promise<void> {
    const daemon = this.#anyDaemon()
    if (daemon === undefined || daemon.isStopping) return
    this.#count('planned_stop')
    this.#disturb(daemon.name, 60_000)
    await this.#start(daemon)
    await this.#fleet.stop(daemon)
    this.#traffic.gone(daemon, CallerEnd.CutByStop)
  }

  async #cut (): Promise<void> {
    await this.#cutFor(5_000 + this.#randomness.below(10_000))
  }

  async #cutAndHalt (): Promise<void> {
    await this.#operators.set(CandidateState.Open)
    await this.#fleet.clock.sleep(spreadMilliseconds)
    const cut = this.#cutFor(18_000, 1 + this.#randomness.below(2))
    await this.#fleet.clock.sleep(1_000)
    await this.#operators.set(CandidateState.Halted)
    this.#count('halt_during_cut')
    await cut
  }

  async #cutFor (length: number, index = this.#randomness.below(places.length)): Promise<void> {
    const place = places[index]
    if (place === undefined) return
    this.#count('cut_data_centre')
    // Without the store's data centre the others can't hear of changes.
    this.#disturb(index === 0 ? everywhere : place.dataCentre, length)
    this.#fleet.cut(place.dataCentre)
    await this.#fleet.clock.sleep(length)
    this.#fleet.heal()
  }

  async #storeDown (): Promise<void> {
    this.#count('store_down')
    await this.#weather(5_000 + this.#randomness.below(15_000), weather => { weather.isDown = true }, weather => { weather.isDown = false })
  }

  async #storeSlow (): Promise<void> {
    this.#count('store_slow')
    await this.#weather(10_000, weather => { weather.slowness = 900 }, weather => { weather.slowness = 5 })
  }

  async #storeLossy (): Promise<void> {
    this.#count('store_loses_replies')
    await this.#weather(10_000, weather => { weather.lostShare = 0.3 }, weather => { weather.lostShare = 0 })
  }

  async #weather (length: number, begin: (weather: Fleet['weather']) => void, end: (weather: Fleet['weather']) => void): Promise<void> {
    this.#disturb(everywhere, length)
    begin(this.#fleet.weather)
    await this.#fleet.clock.sleep(length)
    end(this.#fleet.weather)
  }

  async #race (): Promise<void> {
    this.#count('operators_race')
    await this.#operators.race()
  }

  async #set (state: CandidateState): Promise<void> {
    this.#count(`operator_sets_${state}`)
    await this.#operators.set(state)
  }

  async #leave (): Promise<void> {
    const names = this.#fleet.engineNames
    const endpoint = names[this.#randomness.below(names.length)]
    if (endpoint === undefined) return
    this.#count('endpoint_leaves')
    const from = this.#fleet.clock.now()
    this.leaving.push({ endpoint, from, to: from + leavingMilliseconds })
    this.#fleet.engines.leave(endpoint)
    await this.#fleet.clock.sleep(leavingMilliseconds)
    this.#fleet.engines.comeBack(endpoint)
  }

  async #silence (): Promise<void> {
    this.#count('connections_go_silent')
    const index = this.#randomness.below(places.length)
    for (const number of [0, 1]) this.#fleet.engines.network.silence(`10.1.${index}.${number}:8000`)
  }

  async #start (like: FleetDaemon): Promise<void> {
    const daemon = await this.#fleet.add(like.place)
    this.#disturb(daemon.name, 0)
  }

  /** A piece that is cut off, goes silent or comes twice. */
  #exchangeFate (): ExchangeFate {
    const draw = this.#randomness.fraction()
    if (draw > 0.12) return {}
    const at = 1 + this.#randomness.below(10)
    const kind = draw < 0.04 ? 'cut' : draw < 0.08 ? 'silent' : 'twice'
    return {
      piece: (text: string, index: number): PieceFate => {
        if (index !== at) return { arrive: [text] }
        this.#count(`stream_${kind}`)
        return kind === 'twice' ? { arrive: [text, text] } : { arrive: [text], then: kind }
      }
    }
  }

  #thaw (daemon: FleetDaemon): void {
    daemon.gate.thaw()
    this.#fleet.network.thaw(daemon.name)
  }

  #anyDaemon (): FleetDaemon | undefined {
    return this.#fleet.daemons[this.#randomness.below(this.#fleet.daemons.length)]
  }

  #disturb (scope: string, length: number): void {
    const now = this.#fleet.clock.now()
    this.#disturbances.add(scope, now, now + length + recoveryMilliseconds)
  }

  #count (kind: string): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1)
  }
}
