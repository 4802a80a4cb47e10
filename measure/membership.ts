/**
 * What membership, news of load and settings cost a daemon: bytes, messages, processor time and
 * memory, with the real links over loopback, by the number of members and runners of a data centre.
 *
 *   node scripts/run.mjs measure/membership.ts
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { fit } from './leastSquares.ts'
import { MeasuredFleet, type DataCentreSize } from './membershipFleet.ts'

const settleMilliseconds = 20_000
const windowMilliseconds = 15_000
/** Headers of IP and TCP with time stamps; an ask takes about a data packet and an acknowledgement each way. */
const headerBytes = 52
const packetsPerAsk = 2

interface Measurement {
  readonly members: number
  readonly runners: number
  readonly otherRunners: number
  readonly bytesInPerSecond: number
  readonly bytesOutPerSecond: number
  readonly worstBytesOutPerSecond: number
  readonly worstBytesInPerSecond: number
  readonly asksPerSecond: number
  readonly coreShare: number
  readonly heapBytes: number
}

interface Reading {
  readonly bytesIn: number
  readonly bytesOut: number
  readonly asks: number
}

setFlagsFromString('--expose-gc')
const collectGarbage: () => void = runInNewContext('gc')

function heapBytes (): number {
  collectGarbage()
  collectGarbage()
  return process.memoryUsage().heapUsed
}

async function measure (sizes: readonly DataCentreSize[]): Promise<Measurement> {
  const heapBefore = heapBytes()
  const fleet = new MeasuredFleet(sizes)
  await fleet.start()
  await fleet.clock.sleep(settleMilliseconds)
  const first = sizes[0]?.name
  const daemons = fleet.daemons.filter(daemon => daemon.dataCentre === first)
  const read = (): Reading[] => daemons.map(({ link, counting }) => ({ ...link.traffic, asks: counting.asks }))
  const before = read()
  const processorBefore = process.cpuUsage()
  const startedAt = fleet.clock.now()
  await fleet.clock.sleep(windowMilliseconds)
  const seconds = (fleet.clock.now() - startedAt) / 1_000
  const processor = process.cpuUsage(processorBefore)
  const rates = read().map((reading, index) => rateOf(reading, before[index], seconds))
  const heap = heapBytes() - heapBefore
  await fleet.stop()
  return {
    members: daemons.length,
    runners: sizes[0]?.runners ?? 0,
    otherRunners: sizes.slice(1).reduce((sum, size) => sum + size.runners, 0),
    bytesInPerSecond: mean(rates.map(rate => rate.bytesIn)),
    bytesOutPerSecond: mean(rates.map(rate => rate.bytesOut)),
    worstBytesInPerSecond: Math.max(...rates.map(rate => rate.bytesIn)),
    worstBytesOutPerSecond: Math.max(...rates.map(rate => rate.bytesOut)),
    asksPerSecond: mean(rates.map(rate => rate.asks)),
    coreShare: (processor.user + processor.system) / 1e6 / seconds / fleet.daemons.length,
    heapBytes: heap / fleet.daemons.length
  }
}

function rateOf (reading: Reading, before: Reading | undefined, seconds: number): Reading {
  const asks = (reading.asks - (before?.asks ?? 0)) / seconds
  const headers = 2 * asks * packetsPerAsk * headerBytes
  return {
    bytesIn: (reading.bytesIn - (before?.bytesIn ?? 0)) / seconds + headers,
    bytesOut: (reading.bytesOut - (before?.bytesOut ?? 0)) / seconds + headers,
    asks
  }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

async function main (): Promise<void> {
  const grid: Array<readonly [members: number, runners: number]> = [[2, 6], [20, 30], [35, 120], [70, 60], [70, 120]]
  const measurements: Measurement[] = []
  for (const [members, runners] of grid) measurements.push(report(await measure([{ name: 'a', members, runners }])))
  const wide = report(await measure([{ name: 'a', members: 70, runners: 120 }, { name: 'b', members: 4, runners: 120 }, { name: 'c', members: 4, runners: 120 }]))
  const fits = Object.fromEntries((['bytesInPerSecond', 'bytesOutPerSecond', 'asksPerSecond', 'coreShare', 'heapBytes'] as const)
    .map(figure => [figure, fit(measurements.map(point => [[point.members, point.runners], point[figure]]))]))
  console.log(JSON.stringify({ measurements, wide, fits }))
}

function report (measurement: Measurement): Measurement {
  console.log(JSON.stringify(measurement))
  return measurement
}

main().then(() => process.exit(0))
