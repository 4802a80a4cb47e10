/** Gateways on virtual time that tell each other of crashes, and never reach a store. */
import { EndpointRuns, PromptBreaker, type SharedPrompt } from '../../src/breaker/index.ts'
import { SeededRandomness } from '../../src/contract/index.ts'
import type { Peer } from '../../src/link/index.ts'
import { NewsExchange } from '../../src/news/index.ts'
import { Log } from '../../src/observe/index.ts'
import { AnnouncedLimits } from '../../src/rateLimit/index.ts'
import { FakeLinkNetwork } from './fakeLink.ts'
import { ManualClock } from './manualClock.ts'

/** Number of peers that a gateway of a large fleet knows. */
const knownPeerCount = 64
const dataCentres = ['coast-1', 'coast-2', 'inland-1']
const sameRegionMilliseconds = 1
const otherRegionMilliseconds = 20

export interface NewsGateway {
  readonly name: string
  readonly breaker: PromptBreaker
  readonly runs: EndpointRuns
  readonly exchange: NewsExchange
}

export class NewsFleet {
  readonly clock = new ManualClock()
  readonly randomness: SeededRandomness
  readonly network: FakeLinkNetwork
  readonly gateways: NewsGateway[]
  readonly #peers: readonly Peer[]

  constructor (size: number) {
    this.randomness = new SeededRandomness(size)
    this.network = new FakeLinkNetwork(this.clock, this.randomness)
    this.network.conditions.delayMilliseconds = (from, to) => from.place.region === to.place.region ? sameRegionMilliseconds : otherRegionMilliseconds
    this.#peers = Array.from({ length: size }, (_, index) => ({ name: `gateway-${index}`, address: `gateway-${index}` }))
    this.gateways = this.#peers.map((_, index) => this.#start(index))
  }

  /** Starts a gateway anew, with nothing that it knew. */
  restart (index: number): void {
    this.gateways[index]!.exchange.stop()
    this.gateways[index] = this.#start(index)
  }

  /** Starts all gateways anew at the same moment. */
  async restartAll (): Promise<void> {
    for (const { address } of this.#peers) this.network.remove(address)
    await this.stop()
    for (const index of this.gateways.keys()) this.gateways[index] = this.#start(index)
  }

  /** A run of a request at a gateway, whose endpoint crashes a while after it was sent; sound requests that lie there are answered elsewhere. */
  async crashUnder (index: number, prompt: SharedPrompt, instance: string, crashMilliseconds: number, beside: ReadonlyMap<number, readonly SharedPrompt[]> = new Map(), afterwardsMilliseconds = crashMilliseconds): Promise<void> {
    const lying = [...beside].flatMap(([gateway, prompts]) => prompts.map(prompt => this.#send(gateway, prompt, instance)))
    const run = this.#send(index, prompt, instance)
    await this.clock.advance(crashMilliseconds)
    for (const broken of [run, ...lying]) {
      broken.recordBreak(this.clock.now())
      broken.close()
    }
    await this.clock.advance(afterwardsMilliseconds)
    for (const [gateway, prompts] of beside) for (const prompt of prompts) this.gateways[gateway]!.runs.recordAnswer(prompt, this.clock.now())
  }

  isBlocked (index: number, prompt: SharedPrompt): boolean {
    return this.gateways[index]!.breaker.isBlocked(prompt, this.clock.now())
  }

  async stop (): Promise<void> {
    for (const { exchange } of this.gateways) exchange.stop()
    await this.clock.advance(10_000)
  }

  #send (index: number, prompt: SharedPrompt, instance: string) {
    const run = this.gateways[index]!.runs.open({ instance, address: '', prompt, cancel: () => undefined })
    run.recordSent(this.clock.now())
    return run
  }

  #start (index: number): NewsGateway {
    const { clock } = this
    const { name, address } = this.#peers[index]!
    const dataCentre = dataCentres[index % dataCentres.length]!
    const link = this.network.linkFor({ name, address, place: { region: dataCentre.split('-')[0]!, dataCentre }, rack: '', incarnation: 1 })
    const others = this.#peers.filter(peer => peer.name !== name)
    while (others.length > knownPeerCount) others.splice(this.randomness.integerBelow(others.length), 1)
    const breaker = new PromptBreaker({ name })
    const log = new Log('error', {}, () => undefined)
    const runs: EndpointRuns = new EndpointRuns({ name, breaker, hasCrashed: async () => true, onNews: () => exchange.publish(), clock, log })
    const exchange: NewsExchange = new NewsExchange({ link, breaker, peers: () => others, limits: new AnnouncedLimits(), onBreakerNews: () => runs.followNews(clock.now()), clock, randomness: new SeededRandomness(index), log })
    exchange.start()
    return { name, breaker, runs, exchange }
  }
}
