/**
 * Measures the cost of membership, load reports and settings for a daemon: bytes, messages, processor
 * time and memory by the number of members and runners of a data centre, with real links over loopback.
 * The daemons are spread over a few threads, so that no event loop becomes the bottleneck. Each
 * measurement starts new threads, so that its memory is not affected by earlier ones.
 *
 *   node scripts/run.mjs measure/membership.ts
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads'
import { fitLeastSquares } from './leastSquares.ts'
import { type DataCentreSize, MeasuredFleet } from './membershipFleet.ts'

const threadCount = 4
const settleMilliseconds = 25_000
const windowMilliseconds = 12_000
/** Bytes of the IP and TCP headers with timestamps. A request takes about one data packet and one acknowledgement in each direction. */
const headerBytes = 52
const packetsPerRequest = 2

/** Traffic of one daemon: totals when read from the link, per second as a result. */
interface TrafficRate {
  readonly bytesIn: number
  readonly bytesOut: number
  readonly requests: number
}

interface WorkerResult {
  readonly daemons: number
  /** For the daemons of the first data centre only. */
  readonly rates: readonly TrafficRate[]
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

interface WorkerTask {
  readonly sizes: readonly DataCentreSize[]
  readonly index: number
}

async function measurePartition ({ index, sizes }: WorkerTask): Promise<WorkerResult> {
  const heapBefore = heapBytes()
  const fleet = new MeasuredFleet(sizes, { index, count: threadCount })
  await fleet.start()
  await fleet.clock.sleep(settleMilliseconds)
  const daemons = fleet.daemons.filter(daemon => daemon.dataCentre === sizes[0]?.name)
  const readTraffic = (): TrafficRate[] => daemons.map(({ link, countingLink }) => ({ ...link.traffic, requests: countingLink.requestCount }))
  const before = readTraffic()
  const startedAt = fleet.clock.now()
  await fleet.clock.sleep(windowMilliseconds)
  const seconds = (fleet.clock.now() - startedAt) / 1_000
  const rates = readTraffic().map((reading, position) => rateOf(reading, before[position], seconds))
  return { daemons: fleet.daemons.length, rates, heapBytes: heapBytes() - heapBefore }
}

function heapBytes (): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage: () => void = runInNewContext('gc')
  collectGarbage()
  collectGarbage()
  return process.memoryUsage().heapUsed
}

function rateOf (reading: TrafficRate, before: TrafficRate | undefined, seconds: number): TrafficRate {
  const requests = (reading.requests - (before?.requests ?? 0)) / seconds
  const totalHeaderBytes = 2 * requests * packetsPerRequest * headerBytes
  return {
    bytesIn: (reading.bytesIn - (before?.bytesIn ?? 0)) / seconds + totalHeaderBytes,
    bytesOut: (reading.bytesOut - (before?.bytesOut ?? 0)) / seconds + totalHeaderBytes,
    requests
  }
}

async function measure (sizes: readonly DataCentreSize[]): Promise<Measurement> {
  const workers = Array.from({ length: threadCount }, (_, index) => new Worker(process.argv[1] ?? '', { workerData: { sizes, index } satisfies WorkerTask }))
  const results = Promise.all(workers.map(worker => new Promise<WorkerResult>((resolve, reject) => worker.once('message', resolve).once('error', reject))))
  const coreShare = await processorShare()
  const workerResults = await results
  await Promise.all(workers.map(worker => worker.terminate()))
  const rates = workerResults.flatMap(result => result.rates)
  const daemons = sum(workerResults.map(result => result.daemons))
  return {
    members: sizes[0]?.members ?? 0,
    runners: sizes[0]?.runners ?? 0,
    otherRunners: sum(sizes.slice(1).map(size => size.runners)),
    bytesInPerSecond: sum(rates.map(rate => rate.bytesIn)) / rates.length,
    bytesOutPerSecond: sum(rates.map(rate => rate.bytesOut)) / rates.length,
    worstBytesInPerSecond: Math.max(...rates.map(rate => rate.bytesIn)),
    worstBytesOutPerSecond: Math.max(...rates.map(rate => rate.bytesOut)),
    asksPerSecond: sum(rates.map(rate => rate.requests)) / rates.length,
    coreShare: coreShare / daemons,
    heapBytes: sum(workerResults.map(result => result.heapBytes)) / daemons
  }
}

/** Cores used by the process during the threads' measurement window, without their start. */
async function processorShare (): Promise<number> {
  await sleep(settleMilliseconds + 1_000)
  const before = process.cpuUsage()
  const startedAt = performance.now()
  await sleep(windowMilliseconds - 2_000)
  const processorTime = process.cpuUsage(before)
  return (processorTime.user + processorTime.system) / 1_000 / (performance.now() - startedAt)
}

function sleep (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

async function main (): Promise<void> {
  const fleetSizes: Array<readonly [members: number, runners: number]> = [[4, 6], [35, 60], [35, 120], [70, 60], [70, 120]]
  const measurements: Measurement[] = []
  for (const [members, runners] of fleetSizes) measurements.push(print(await measure([{ name: 'a', members, runners }])))
  const wide = print(await measure([{ name: 'a', members: 70, runners: 120 }, ...['b', 'c', 'd', 'e'].map(name => ({ name, members: 4, runners: 120 }))]))
  const metrics = ['bytesInPerSecond', 'bytesOutPerSecond', 'asksPerSecond', 'coreShare', 'heapBytes'] as const
  const fits = Object.fromEntries(metrics.map(metric => [metric, fitLeastSquares(measurements.map(measurement => [[measurement.members, measurement.runners], measurement[metric]]))]))
  console.log(JSON.stringify({ measurements, wide, fits }))
}

function print (measurement: Measurement): Measurement {
  console.log(JSON.stringify(measurement))
  return measurement
}

if (isMainThread) main().then(() => process.exit(0))
else measurePartition(workerData as WorkerTask).then(result => parentPort?.postMessage(result))
