/** Builds the engines of a run. Each data centre's accelerators are assigned to versions in proportion to the versions' work. */
import { EndpointKind, type EndpointDescription, type Place } from '../src/contract/index.ts'
import { SimulatedEngine } from './simulatedEngine.ts'
import { benchVersionName } from './versionBaselines.ts'
import type { VirtualTime } from './virtualTime.ts'
import type { World, WorldHardware, WorldUser, WorldVersion } from './world.ts'
import { acceleratorsPerRunner } from './worldLoad.ts'

interface Accelerator {
  readonly runnerName: string
  readonly hardware: WorldHardware
  version: WorldVersion | undefined
}

export function placesOf (user: WorldUser): Place[] {
  return [...user.dataCentres].flatMap(([region, count]) =>
    Array.from({ length: count }, (_, index) => ({ region, dataCentre: `${region}-${index + 1}` })))
}

/**
 * Spreads a user's runners evenly over its data centres and groups their accelerators into engines.
 *
 * @param shares share of the work by version name
 */
export function buildFleet (world: World, user: WorldUser, shares: ReadonlyMap<string, number>, time: VirtualTime): SimulatedEngine[] {
  const places = placesOf(user)
  return places.flatMap((place, index) => {
    const runners = Math.floor(user.runners * (index + 1) / places.length) - Math.floor(user.runners * index / places.length)
    const accelerators = acceleratorsOf(world, place, runners)
    assignVersions(world, accelerators, shares)
    return enginesOf(place, accelerators, time)
  })
}

function acceleratorsOf (world: World, place: Place, runners: number): Accelerator[] {
  const accelerators: Accelerator[] = []
  for (let index = 0; index < runners; index++) {
    const hardware = world.hardware[index % world.hardware.length]!
    const runnerName = `${place.dataCentre}-runner-${index + 1}`
    for (let slot = 0; slot < acceleratorsPerRunner; slot++) accelerators.push({ runnerName, hardware, version: undefined })
  }
  return accelerators
}

/** Decoding throughput of an accelerator for a version with a full batch, in tokens per millisecond. */
function tokensPerMillisecond (version: WorldVersion, { speed, streams }: WorldHardware): number {
  const { base, perStream } = version.decodeMilliseconds
  return speed * streams / (base + perStream * streams)
}

/** Assigns each version one of the slowest accelerators, then each remaining one, fastest first, to the version with the largest shortfall. */
function assignVersions (world: World, accelerators: Accelerator[], shares: ReadonlyMap<string, number>): void {
  const throughputOf = (accelerator: Accelerator) => tokensPerMillisecond(world.versions[0]!, accelerator.hardware)
  const fastestFirst = [...accelerators].sort((left, right) => throughputOf(right) - throughputOf(left))
  const total = accelerators.reduce((sum, accelerator) => sum + throughputOf(accelerator), 0)
  const shortfalls = new Map(world.versions.map(version => [version, total * (shares.get(version.name) ?? 0)]))
  const assign = (accelerator: Accelerator, version: WorldVersion) => {
    accelerator.version = version
    shortfalls.set(version, shortfalls.get(version)! - throughputOf(accelerator))
  }
  for (const version of world.versions) assign(fastestFirst.pop()!, version)
  for (const accelerator of fastestFirst) {
    const [largestShortfall] = [...shortfalls].sort((left, right) => right[1] - left[1])
    assign(accelerator, largestShortfall![0])
  }
}

function enginesOf (place: Place, accelerators: readonly Accelerator[], time: VirtualTime): SimulatedEngine[] {
  const groups = new Map<string, Accelerator[]>()
  for (const accelerator of accelerators) {
    const name = `${accelerator.runnerName}-${accelerator.version!.name}`
    groups.set(name, [...groups.get(name) ?? [], accelerator])
  }
  return [...groups].map(([name, group]) => {
    const { hardware, version } = group[0]!
    return new SimulatedEngine({ name, place, version: version!, versionName: benchVersionName(version!.name), hardware, accelerators: group.length }, time)
  })
}

/** The description of an engine as it would stand in the settings. */
export function describeEndpoint ({ options }: SimulatedEngine): EndpointDescription {
  return {
    name: options.name,
    kind: EndpointKind.Engine,
    address: '127.0.0.1:1',
    place: options.place,
    versions: [options.versionName],
    service: undefined,
    checksFencing: true
  }
}
