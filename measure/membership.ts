/**
 * What membership, news of load and settings cost a daemon: bytes, messages, processor time and
 * memory, with the real links over loopback, by the number of members and runners of a data centre.
 * The daemons of a measurement are spread over a few threads, so that no event loop is the limit;
 * each measurement starts with fresh threads, so that memory is its own.
 *
 *   node scripts/run.mjs measure/membership.ts
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads'
import { fit } from './leastSquares.ts'
import { type DataCentreSize, MeasuredFleet } from './membershipFleet.ts'

const threads = 4
const settleMilliseconds = 25_000
const windowMilliseconds = 12_000
/** Headers of IP and TCP with time stamps; an ask takes about a data packet and an acknowledgement each way. */
const headerBytes = 52
const packetsPerAsk = 2

/** What one daemon moved in a second. */
interface Rate {
  readonly bytesIn: number
  readonly bytesOut: number
  readonly asks: number
}

interface ShareResult {
  readonly daemons: number
  /** Of the first data centre's daemons. */
  readonly rates: readonly Rate[]
  readonly heapBytes: number
}

interface Measurement {
  readonly members: number
  readonly runners: number
  readonly otherRunners: number
  readonly bytesInPerSecond: number
  readonly bytesOutPerSecond: number
  readonly worstBytesInPerSecond: number
  readonly worstBytesOutPerSecond: number
  readonly asksPerSecond: number
  readonly coreShare: number
  readonly heapBytes: number
}

interface ShareOrder {
  readonly sizes: readonly DataCentreSize[]
  readonly index: number
}

async function measureShare ({ index, sizes }: ShareOrder): Promise<ShareResult> {
  const heapBefore = heapBytes()
  const fleet = new MeasuredFleet(sizes, { index, of: threads })
  await fleet.start()
  await fleet.clock.sleep(settleMilliseconds)
  const daemons = fleet.daemons.filter(daemon => daemon.dataCentre === sizes[0]?.name)
  const read = (): Rate[] => daemons.map(({ link, counting }) => ({ ...link.traffic, asks: counting.asks }))
  const before = read()
  const startedAt = fleet.clock.now()
  await fleet.clock.sleep(windowMilliseconds)
  const seconds = (fleet.clock.now() - startedAt) / 1_000
  const rates = read().map((reading, position) => rateOf(reading, before[position], seconds))
  return { daemons: fleet.daemons.length, rates, heapBytes: heapBytes() - heapBefore }
}

function heapBytes (): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage: () => void = runInNewContext('gc')
  collectGarbage()
  collectGarbage()
  return process.memoryUsage().heapUsed
}

function rateOf (reading: Rate, before: Rate | undefined, seconds: number): Rate {
  const asks = (reading.asks - (before?.asks ?? 0)) / seconds
  const headers = 2 * asks * packetsPerAsk * headerBytes
  return {
    bytesIn: (reading.bytesIn - (before?.bytesIn ?? 0)) / seconds + headers,
    bytesOut: (reading.bytesOut - (before?.bytesOut ?? 0)) / seconds + headers,
    asks
  }
}

async function measure (sizes: readonly DataCentreSize[]): Promise<Measurement> {
  const workers = Array.from({ length: threads }, (_, index) => new Worker(process.argv[1] ?? '', { workerData: { sizes, index } satisfies ShareOrder }))
  const results = Promise.all(workers.map(worker => new Promise<ShareResult>((resolve, reject) => worker.once('message', resolve).once('error', reject))))
  const coreShare = await processorShare()
  const shares = await results
  await Promise.all(workers.map(worker => worker.terminate()))
  const rates = shares.flatMap(share => share.rates)
  const daemons = sum(shares.map(share => share.daemons))
  return {
    members: sizes[0]?.members ?? 0,
    runners: sizes[0]?.runners ?? 0,
    otherRunners: sum(sizes.slice(1).map(size => size.runners)),
    bytesInPerSecond: sum(rates.map(rate => rate.bytesIn)) / rates.length,
    bytesOutPerSecond: sum(rates.map(rate => rate.bytesOut)) / rates.length,
    worstBytesInPerSecond: Math.max(...rates.map(rate => rate.bytesIn)),
    worstBytesOutPerSecond: Math.max(...rates.map(rate => rate.bytesOut)),
    asksPerSecond: sum(rates.map(rate => rate.asks)) / rates.length,
    coreShare: coreShare / daemons,
    heapBytes: sum(shares.map(share => share.heapBytes)) / daemons
  }
}

/** The process's share of a core within the window of the threads, with their start left out. */
async function processorShare (): Promise<number> {
  await sleep(settleMilliseconds + 1_000)
  const before = process.cpuUsage()
  const startedAt = performance.now()
  await sleep(windowMilliseconds - 2_000)
  const used = process.cpuUsage(before)
  return (used.user + used.system) / 1_000 / (performance.now() - startedAt)
}

function sleep (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

async function main (): Promise<void> {
  const grid: Array<readonly [members: number, runners: number]> = [[4, 6], [35, 60], [35, 120], [70, 60], [70, 120]]
  const measurements: Measurement[] = []
  for (const [members, runners] of grid) measurements.push(show(await measure([{ name: 'a', members, runners }])))
  const wide = show(await measure([{ name: 'a', members: 70, runners: 120 }, ...['b', 'c', 'd', 'e'].map(name => ({ name, members: 4, runners: 120 }))]))
  const figures = ['bytesInPerSecond', 'bytesOutPerSecond', 'asksPerSecond', 'coreShare', 'heapBytes'] as const
  const fits = Object.fromEntries(figures.map(figure => [figure, fit(measurements.map(point => [[point.members, point.runners], point[figure]]))]))
  console.log(JSON.stringify({ measurements, wide, fits }))
}

function show (measurement: Measurement): Measurement {
  console.log(JSON.stringify(measurement))
  return measurement
}

if (isMainThread) main().then(() => process.exit(0))
else measureShare(workerData as ShareOrder).then(result => parentPort?.postMessage(result))
