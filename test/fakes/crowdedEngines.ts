/** Gateways that place streams at engines with few slots, on virtual time, with or without load reports between them. */
import { SeededRandomness } from '../../src/contract/index.ts'
import { LoadReports, WorkNews } from '../../src/fleetLoad/index.ts'
import { Log } from '../../src/observe/index.ts'
import { AttemptEnd, EndpointLoads, EndpointPlacement } from '../../src/placement/index.ts'
import type { RoutedEndpoint } from '../../src/routing/index.ts'
import { FakeLinkNetwork } from './fakeLink.ts'
import { limitsOf } from './limitWorld.ts'
import { ManualClock } from './manualClock.ts'

export interface CrowdOptions {
  readonly gateways: number
  readonly engines: number
  /** Load of the engines' slots, 1 if all are taken all the time. */
  readonly load: number
  readonly seed: number
  /** Whether gateways tell each other of their work. */
  readonly hasReports: boolean
}

interface Job {
  readonly milliseconds: number
  readonly begin: () => void
  readonly end: () => void
}

export const slots = 12
const queueLimit = 25
const seedCount = 3
const dataCentres = ['coast-1', 'coast-2', 'hills-1', 'hills-2']
/** One of four hot parts is shared by this share of the requests. */
const hotShare = 0.6
const hotParts = ['h1', 'h2', 'h3', 'h4']
const meanEvents = 50
const largestEvents = 190
const millisecondsPerEvent = 28
const tokensPerEvent = 6

/** An engine that runs a bounded number of requests at once, each for its own time, and refuses beyond its queue. */
class CrowdedEngine {
  readonly endpoint: RoutedEndpoint
  readonly #clock: ManualClock
  readonly #queue: Job[] = []
  #running = 0
  /** Most requests in flight so far. */
  mostInFlight = 0

  constructor (endpoint: RoutedEndpoint, clock: ManualClock) {
    this.endpoint = endpoint
    this.#clock = clock
  }

  get inFlight (): number {
    return this.#running + this.#queue.length
  }

  /** Returns whether the job was accepted. */
  accept (job: Job): boolean {
    if (this.#queue.length >= queueLimit) return false
    if (this.#running < slots) this.#run(job)
    else this.#queue.push(job)
    this.mostInFlight = Math.max(this.mostInFlight, this.inFlight)
    return true
  }

  #run (job: Job): void {
    this.#running++
    job.begin()
    this.#clock.schedule(job.milliseconds, () => {
      this.#running--
      job.end()
      const next = this.#queue.shift()
      if (next !== undefined) this.#run(next)
    })
  }
}

export class CrowdedEngines {
  readonly clock = new ManualClock()
  readonly engines: CrowdedEngine[] = []
  readonly network: FakeLinkNetwork
  readonly news: WorkNews[] = []
  readonly #options: CrowdOptions
  readonly #randomness: SeededRandomness
  readonly #gateways: { readonly loads: EndpointLoads, readonly placement: EndpointPlacement, readonly reports: LoadReports }[] = []
  readonly lines: { readonly event: string }[] = []
  sent = 0
  refused = 0
  /** Waits for a slot, in milliseconds, of the requests that have begun. */
  readonly waits: number[] = []

  constructor (options: CrowdOptions) {
    this.#options = options
    this.#randomness = new SeededRandomness(options.seed)
    this.network = new FakeLinkNetwork(this.clock, new SeededRandomness(options.seed + 1))
    for (let index = 0; index < options.engines; index++) this.addEngine()
    for (let index = 0; index < options.gateways; index++) this.#startGateway(index)
  }

  addEngine (): CrowdedEngine {
    const index = this.engines.length
    const engine = new CrowdedEngine({
      identity: `e${index}`, bornAt: 1, service: 'engines', address: `10.0.0.${index}:1`, place: placeOf(index), version: 'v1', isDraining: false, models: ['m'], slots
    }, this.clock)
    this.engines.push(engine)
    return engine
  }

  stop (): void {
    for (const { reports } of this.#gateways) reports.stop()
  }

  /** Lets requests arrive at random for a time; calls back about ten times a second. */
  async play (milliseconds: number, sample: () => void = () => undefined): Promise<void> {
    const { engines, load } = this.#options
    const perMillisecond = engines * slots * load / (meanEvents * millisecondsPerEvent)
    let sampledAt = this.clock.now()
    for (const endsAt = this.clock.now() + milliseconds; this.clock.now() < endsAt;) {
      await this.clock.advance(-Math.log(1 - this.#randomness.fraction()) / perMillisecond)
      this.#send()
      if (this.clock.now() - sampledAt < 100) continue
      sampledAt = this.clock.now()
      sample()
    }
  }

  #send (): void {
    const { loads, placement } = this.#gateways[this.#randomness.integerBelow(this.#gateways.length)]!
    const events = Math.min(largestEvents, Math.ceil(meanEvents * Math.exp(0.7 * this.#randomness.standardNormal() - 0.245)))
    const promptTokens = 600
    const work = { prefillMilliseconds: promptTokens * 0.05, generationMilliseconds: events * tokensPerEvent * 0.25 }
    const part = this.#randomness.fraction() < hotShare ? hotParts[this.#randomness.integerBelow(hotParts.length)]! : `p${this.sent}`
    const request = { isStream: true, work, promptTokens, promptParts: [{ id: part, tokens: 400 }, { id: `own${this.sent}`, tokens: 200 }], model: 'm' }
    const sentAt = this.clock.now()
    this.sent++
    const endpoint = placement.choose(request, this.engines.map(engine => engine.endpoint), sentAt)
    if (endpoint === undefined) { this.refused++; return }
    const tracker = loads.track(endpoint, work, sentAt)
    const isAccepted = this.engines.find(engine => engine.endpoint === endpoint)!.accept({
      milliseconds: events * millisecondsPerEvent,
      begin: () => {
        this.waits.push(this.clock.now() - sentAt)
        tracker.recordResponseStart(this.clock.now())
      },
      end: () => tracker.close(AttemptEnd.Answered, this.clock.now())
    })
    if (isAccepted) return
    this.refused++
    tracker.close(AttemptEnd.Full, sentAt)
  }

  #startGateway (index: number): void {
    const { hasReports, seed } = this.#options
    const address = `gateway-${index}`
    const place = placeOf(index)
    const link = this.network.linkFor({ name: address, address, place, rack: '', incarnation: 1 })
    const randomness = new SeededRandomness(seed * 1_000 + index)
    const news = new WorkNews()
    const loads = new EndpointLoads(now => reports.notifyWork(now))
    const reports = new LoadReports({
      link,
      seeds: () => [...Array(seedCount).keys()].map(number => `gateway-${number}`),
      regionOf: seedAddress => placeOf(Number(seedAddress.split('-')[1])).region,
      ownWork: () => loads.modelWork(),
      news,
      clock: this.clock,
      randomness,
      log: new Log('info', {}, line => this.lines.push(JSON.parse(line)))
    })
    if (hasReports) reports.start()
    this.news.push(news)
    this.#gateways.push({ loads, placement: new EndpointPlacement(place, loads, randomness, limitsOf(), news), reports })
  }
}

function placeOf (index: number) {
  const dataCentre = dataCentres[index % dataCentres.length]!
  return { region: dataCentre.split('-')[0]!, dataCentre }
}
