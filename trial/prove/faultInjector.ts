/** The kinds of faults of a round, how they are injected and how long they last. */
import type { Randomness } from '../../src/contract/index.ts'
import type { ExchangeFault, ChunkFault } from '../../test/fakes/fakeNetwork.ts'
import { type Disturbances, everywhere } from './disturbances.ts'
import { type Fleet, type FleetDaemon, places } from './fleet.ts'
import { CandidateState, type Operators } from './operators.ts'
import { RequestOutcome, type Traffic } from './traffic.ts'

/** Time that daemons have to recover after the end of a fault. */
const recoveryTimeMilliseconds = 8_000
/** A settings change is in force at every daemon after this time. */
const propagationMilliseconds = 4_000
const maximumKillsPerRound = 2
const replacementDelayMilliseconds = 2_000
const leavingDurationMilliseconds = 15_000

/** Injects random faults and records the disturbances that they cause. */
export class FaultInjector {
  readonly counts = new Map<string, number>()
  /** Endpoints that were marked as leaving, and when. */
  readonly leaving: { readonly endpoint: string, readonly from: number, readonly to: number }[] = []
  readonly #fleet: Fleet
  readonly #traffic: Traffic
  readonly #operators: Operators
  readonly #disturbances: Disturbances
  readonly #randomness: Randomness
  #killCount = 0

  constructor (dependencies: { readonly fleet: Fleet, readonly traffic: Traffic, readonly operators: Operators, readonly disturbances: Disturbances, readonly randomness: Randomness }) {
    this.#fleet = dependencies.fleet
    this.#traffic = dependencies.traffic
    this.#operators = dependencies.operators
    this.#disturbances = dependencies.disturbances
    this.#randomness = dependencies.randomness
    this.#fleet.engines.freezeDaemon = (name, milliseconds) => this.#freezeDuringOrder(name, milliseconds)
  }

  /** Begins a round and enables the random faults of single messages and orders. */
  beginRound (): void {
    this.#killCount = 0
    this.leaving.length = 0
    this.#fleet.services.faultShare = 0.15
    this.#fleet.engines.orderFreezeShare = 0.2
    this.#fleet.engines.network.script = () => this.#exchangeFault()
  }

  /** Ends a round and removes all faults. */
  endRound (): void {
    this.#fleet.heal()
    this.#fleet.storeConditions.isDown = false
    this.#fleet.storeConditions.lossShare = 0
    this.#fleet.storeConditions.maximumDelayMilliseconds = 5
    this.#fleet.services.faultShare = 0
    this.#fleet.engines.orderFreezeShare = 0
    this.#fleet.engines.network.script = () => ({})
    for (const daemon of this.#fleet.daemons) this.#thaw(daemon)
    for (const name of this.#fleet.engineNames) this.#fleet.engines.restart(name)
  }

  /** Injects one random fault and waits for its end. */
  async injectFault (): Promise<void> {
    const faults: readonly (() => Promise<void>)[] = [
      () => this.#kill(), () => this.#freeze(), () => this.#replace(), () => this.#replace(), () => this.#partition(), () => this.#partitionAndHalt(), () => this.#partitionAndHalt(),
      () => this.#storeDown(), () => this.#storeSlow(), () => this.#storeLossy(), () => this.#raceOperators(),
      () => this.#setCandidateState(CandidateState.Withdrawn), () => this.#setCandidateState(CandidateState.Halted), () => this.#setCandidateState(CandidateState.Open),
      () => this.#markEngineLeaving(), () => this.#silenceConnections(), () => this.#silenceConnections()
    ]
    await faults[this.#randomness.integerBelow(faults.length)]?.()
  }

  async #kill (): Promise<void> {
    const daemon = this.#anyDaemon()
    if (daemon === undefined || daemon.isStopping || this.#killCount >= maximumKillsPerRound) return
    this.#countFault('kill')
    this.#killCount += 1
    this.#fleet.kill(daemon)
    this.#traffic.endRequests(daemon, RequestOutcome.Lost)
    await this.#fleet.clock.sleep(replacementDelayMilliseconds)
    await this.#startReplacement(daemon)
  }

  async #freeze (): Promise<void> {
    const daemon = this.#anyDaemon()
    if (daemon === undefined) return
    this.#countFault('freeze')
    await this.#freezeFor(daemon, 1_000 + this.#randomness.integerBelow(14_000))
  }

  #freezeDuringOrder (name: string, durationMilliseconds: number): void {
    const daemon = this.#fleet.daemons.find(candidate => candidate.name === name)
    if (daemon === undefined) return
    this.#countFault('freeze_in_order')
    this.#freezeFor(daemon, durationMilliseconds)
  }

  async #freezeFor (daemon: FleetDaemon, durationMilliseconds: number): Promise<void> {
    this.#recordDisturbance(daemon.name, durationMilliseconds)
    daemon.gate.freeze()
    this.#fleet.network.freeze(daemon.name)
    await this.#fleet.clock.sleep(durationMilliseconds)
    this.#thaw(daemon)
  }

  async #replace (): Promise<void> {
    const daemon = this.#anyDaemon()
    if (daemon === undefined || daemon.isStopping) return
    this.#countFault('planned_stop')
    this.#recordDisturbance(daemon.name, 60_000)
    await this.#startReplacement(daemon)
    await this.#fleet.stop(daemon)
    this.#traffic.endRequests(daemon, RequestOutcome.CutOffByStop)
  }

  async #partition (): Promise<void> {
    await this.#partitionFor(5_000 + this.#randomness.integerBelow(10_000))
  }

  async #partitionAndHalt (): Promise<void> {
    await this.#operators.setState(CandidateState.Open)
    await this.#fleet.clock.sleep(propagationMilliseconds)
    const partition = this.#partitionFor(18_000, 1 + this.#randomness.integerBelow(2))
    await this.#fleet.clock.sleep(1_000)
    await this.#operators.setState(CandidateState.Halted)
    this.#countFault('halt_during_cut')
    await partition
  }

  async #partitionFor (durationMilliseconds: number, index = this.#randomness.integerBelow(places.length)): Promise<void> {
    const place = places[index]
    if (place === undefined) return
    this.#countFault('cut_data_centre')
    // If the store's data centre is cut off, the others can't receive settings changes.
    this.#recordDisturbance(index === 0 ? everywhere : place.dataCentre, durationMilliseconds)
    this.#fleet.partition(place.dataCentre)
    await this.#fleet.clock.sleep(durationMilliseconds)
    this.#fleet.heal()
  }

  async #storeDown (): Promise<void> {
    this.#countFault('store_down')
    await this.#disturbStore(5_000 + this.#randomness.integerBelow(15_000), conditions => { conditions.isDown = true }, conditions => { conditions.isDown = false })
  }

  async #storeSlow (): Promise<void> {
    this.#countFault('store_slow')
    await this.#disturbStore(10_000, conditions => { conditions.maximumDelayMilliseconds = 900 }, conditions => { conditions.maximumDelayMilliseconds = 5 })
  }

  async #storeLossy (): Promise<void> {
    this.#countFault('store_loses_replies')
    await this.#disturbStore(10_000, conditions => { conditions.lossShare = 0.3 }, conditions => { conditions.lossShare = 0 })
  }

  async #disturbStore (durationMilliseconds: number, begin: (conditions: Fleet['storeConditions']) => void, end: (conditions: Fleet['storeConditions']) => void): Promise<void> {
    this.#recordDisturbance(everywhere, durationMilliseconds)
    begin(this.#fleet.storeConditions)
    await this.#fleet.clock.sleep(durationMilliseconds)
    end(this.#fleet.storeConditions)
  }

  async #raceOperators (): Promise<void> {
    this.#countFault('operators_race')
    await this.#operators.raceChanges()
  }

  async #setCandidateState (state: CandidateState): Promise<void> {
    this.#countFault(`operator_sets_${state}`)
    await this.#operators.setState(state)
  }

  async #markEngineLeaving (): Promise<void> {
    const names = this.#fleet.engineNames
    const endpoint = names[this.#randomness.integerBelow(names.length)]
    if (endpoint === undefined) return
    this.#countFault('endpoint_leaves')
    const from = this.#fleet.clock.now()
    this.leaving.push({ endpoint, from, to: from + leavingDurationMilliseconds })
    this.#fleet.engines.markLeaving(endpoint)
    await this.#fleet.clock.sleep(leavingDurationMilliseconds)
    this.#fleet.engines.restart(endpoint)
  }

  async #silenceConnections (): Promise<void> {
    this.#countFault('connections_go_silent')
    const index = this.#randomness.integerBelow(places.length)
    for (const number of [0, 1]) this.#fleet.engines.network.silenceConnections(`10.1.${index}.${number}:8000`)
  }

  async #startReplacement (original: FleetDaemon): Promise<void> {
    const daemon = await this.#fleet.startDaemon(original.place)
    this.#recordDisturbance(daemon.name, 0)
  }

  /** A random fault of one stream: the connection is cut, goes silent or delivers one chunk twice. */
  #exchangeFault (): ExchangeFault {
    const draw = this.#randomness.fraction()
    if (draw > 0.12) return {}
    const faultIndex = 1 + this.#randomness.integerBelow(10)
    const kind = draw < 0.04 ? 'cut' : draw < 0.08 ? 'silent' : 'twice'
    return {
      faultForChunk: (text: string, index: number): ChunkFault => {
        if (index !== faultIndex) return { deliveredChunks: [text] }
        this.#countFault(`stream_${kind}`)
        return kind === 'twice' ? { deliveredChunks: [text, text] } : { deliveredChunks: [text], connectionFault: kind }
      }
    }
  }

  #thaw (daemon: FleetDaemon): void {
    daemon.gate.thaw()
    this.#fleet.network.thaw(daemon.name)
  }

  #anyDaemon (): FleetDaemon | undefined {
    return this.#fleet.daemons[this.#randomness.integerBelow(this.#fleet.daemons.length)]
  }

  #recordDisturbance (scope: string, durationMilliseconds: number): void {
    const now = this.#fleet.clock.now()
    this.#disturbances.add(scope, now, now + durationMilliseconds + recoveryTimeMilliseconds)
  }

  #countFault (kind: string): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1)
  }
}
