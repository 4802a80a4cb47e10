/**
 * Draws the faults of a soak from its seed. Each seed takes some families of faults, so that some runs are free of those that excuse much.
 * Within a family faults come in series, on one target again and again, on one target after the other or on several at once; the
 * families run beside each other, so their series overlap.
 */
import { type Randomness, SeededRandomness, hashFraction } from '../../src/contract/index.ts'
import { EndpointFault, EndpointProcessFault, type Fault, GatewayFault, LinkFault, OperatorFault, PlatformFault } from './faults.ts'

/** Where a fault is caused. */
export const FaultPlace = {
  Gateway: 'gateway',
  CallerLink: 'caller_link',
  StoreLink: 'store_link',
  EndpointLink: 'endpoint_link',
  Endpoint: 'endpoint',
  EndpointProcess: 'endpoint_process',
  Operator: 'operator',
  Platform: 'platform'
} as const
export type FaultPlace = typeof FaultPlace[keyof typeof FaultPlace]

export interface PlannedFault {
  /** After the start of the plan. */
  readonly atMilliseconds: number
  /** For how long it lasts, where that is up to the plan. */
  readonly milliseconds: number
  readonly place: FaultPlace
  readonly fault: Fault
  /** Stands for one of the gateways or endpoints that are there: its remainder by their count. */
  readonly target: number
}

export interface FaultPlanOptions {
  readonly seed: number
  readonly seconds: number
}

interface FaultFamily {
  readonly place: FaultPlace
  readonly faults: readonly Fault[]
  /** Of the seeds that take it. */
  readonly share: number
  readonly durationMilliseconds: Range
  readonly pauseMilliseconds: Range
  /** Faults of a series; as `seriesLength` unless given. */
  readonly length?: Range
}

interface Range {
  readonly from: number
  readonly to: number
}

const shortPause = { from: 500, to: 4_000 }
const longPause = { from: 3_000, to: 9_000 }
const lasting = { from: 400, to: 2_500 }

/** In the order in which seeds draw them. */
const families: readonly FaultFamily[] = [
  { place: FaultPlace.Gateway, faults: [GatewayFault.Restart, GatewayFault.Restart, GatewayFault.Move, GatewayFault.Reload], share: 0.8, durationMilliseconds: lasting, pauseMilliseconds: shortPause },
  { place: FaultPlace.Gateway, faults: [GatewayFault.Freeze], share: 0.6, durationMilliseconds: { from: 300, to: 1_800 }, pauseMilliseconds: shortPause },
  { place: FaultPlace.Gateway, faults: [GatewayFault.Kill], share: 0.3, durationMilliseconds: lasting, pauseMilliseconds: longPause },
  { place: FaultPlace.Operator, faults: [OperatorFault.Configure], share: 0.7, durationMilliseconds: lasting, pauseMilliseconds: shortPause },
  { place: FaultPlace.Operator, faults: [OperatorFault.RollOutGood, OperatorFault.RollOutBad], share: 0.4, durationMilliseconds: lasting, pauseMilliseconds: longPause, length: { from: 1, to: 2 } },
  { place: FaultPlace.Endpoint, faults: Object.values(EndpointFault), share: 0.5, durationMilliseconds: lasting, pauseMilliseconds: shortPause },
  { place: FaultPlace.EndpointProcess, faults: Object.values(EndpointProcessFault), share: 0.4, durationMilliseconds: { from: 300, to: 1_800 }, pauseMilliseconds: longPause },
  { place: FaultPlace.CallerLink, faults: Object.values(LinkFault), share: 0.3, durationMilliseconds: lasting, pauseMilliseconds: longPause },
  { place: FaultPlace.StoreLink, faults: Object.values(LinkFault), share: 0.4, durationMilliseconds: lasting, pauseMilliseconds: shortPause },
  { place: FaultPlace.EndpointLink, faults: Object.values(LinkFault), share: 0.3, durationMilliseconds: lasting, pauseMilliseconds: longPause },
  { place: FaultPlace.Platform, faults: [PlatformFault.StoreBusy, PlatformFault.StoreSilent, PlatformFault.StoreLosesAnswers, PlatformFault.StoreLosesHistory], share: 0.3, durationMilliseconds: lasting, pauseMilliseconds: longPause },
  { place: FaultPlace.Platform, faults: [PlatformFault.Load], share: 0.4, durationMilliseconds: lasting, pauseMilliseconds: shortPause }
]

const minimumFamilies = 2
const seedCount = 2 ** 32
const firstSeriesMilliseconds = { from: 300, to: 3_000 }
const seriesLength = { from: 2, to: 7 }
const stepMilliseconds = { from: 100, to: 1_500 }
const targetNumbers = { from: 0, to: 999 }
/** At the end no faults begin, so that what they have held up can end before the callers stop. */
const calmMilliseconds = 4_000

/** How the targets of a series follow each other. */
const Targets = {
  Same: 'same',
  InTurn: 'in_turn',
  AtOnce: 'at_once'
} as const

/**
 * Draws a plan: the same for the same seed and seconds.
 *
 * @returns the faults in the order of their times
 * @example
 * const plan = planFaults({ seed: 7, seconds: 60 })
 */
export function planFaults ({ seed, seconds }: FaultPlanOptions): readonly PlannedFault[] {
  const randomness = randomnessOf(seed, 'faults')
  const endsAt = Math.max(0, seconds * 1_000 - calmMilliseconds)
  const faults = drawFamilies(randomness).flatMap(family => planFamily(family, endsAt, randomness))
  return faults.sort((left, right) => left.atMilliseconds - right.atMilliseconds)
}

function drawFamilies (randomness: Randomness): readonly FaultFamily[] {
  const drawn = families.filter(({ share }) => randomness.fraction() < share)
  return drawn.length >= minimumFamilies ? drawn : families.slice(0, minimumFamilies)
}

function planFamily (family: FaultFamily, endsAt: number, randomness: Randomness): PlannedFault[] {
  const planned: PlannedFault[] = []
  let startsAt = draw(firstSeriesMilliseconds, randomness)
  while (startsAt < endsAt) {
    const series = planSeries(family, startsAt, randomness)
    planned.push(...series.filter(({ atMilliseconds }) => atMilliseconds < endsAt))
    startsAt = (series.at(-1)?.atMilliseconds ?? startsAt) + draw(family.pauseMilliseconds, randomness)
  }
  return planned
}

function planSeries ({ place, faults, durationMilliseconds, length = seriesLength }: FaultFamily, startsAt: number, randomness: Randomness): PlannedFault[] {
  const fault = pick(faults, randomness)
  const targets = pick(Object.values(Targets), randomness)
  const first = draw(targetNumbers, randomness)
  const step = targets === Targets.AtOnce ? 0 : draw(stepMilliseconds, randomness)
  return Array.from({ length: draw(length, randomness) }, (_, index) => ({
    atMilliseconds: startsAt + index * step,
    milliseconds: draw(durationMilliseconds, randomness),
    place,
    fault,
    target: targets === Targets.Same ? first : first + index
  }))
}

/** A generator for one use of a seed. The seed is hashed, because the first numbers of small seeds are alike. */
export function randomnessOf (seed: number, use: string): Randomness {
  return new SeededRandomness(Math.floor(hashFraction(`${use} ${seed}`) * seedCount))
}

/** A whole number of the range, its ends included. */
function draw ({ from, to }: Range, randomness: Randomness): number {
  return from + randomness.integerBelow(to - from + 1)
}

function pick<Value> (values: readonly Value[], randomness: Randomness): Value {
  return values[randomness.integerBelow(values.length)]!
}
