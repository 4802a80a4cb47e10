/**
 * Measures the cost of settings by the number of organisations: the bytes of a change in the store and
 * between daemons, its processor time at the operator and at each daemon, and the memory of a view.
 *
 *   node scripts/run.mjs measure/settings.ts
 */
import { createHash } from 'node:crypto'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { Encoder } from 'cbor-x/index-no-eval'
import { SeededRandomness, SystemClock } from '../src/contract/index.ts'
import { TableSettingsRepository } from '../src/distribution/index.ts'
import { SettingsView, type Subtree, subtreeSchema } from '../src/settings/index.ts'
import { MemoryTableService } from '../src/standin/index.ts'
import { fitLeastSquares } from './leastSquares.ts'

interface Measurement {
  readonly organisations: number
  /** Bytes written for a change of the subtree that holds all organisations. */
  readonly storeBytes: number
  readonly linkBytes: number
  readonly putMilliseconds: number
  readonly checkMilliseconds: number
  readonly viewMilliseconds: number
  readonly viewBytes: number
}

const repetitions = 30
const retainedViews = 20

setFlagsFromString('--expose-gc')
const collectGarbage: () => void = runInNewContext('gc')

function organisationsOf (count: number, price: number): Subtree {
  const organisations = Object.fromEntries(Array.from({ length: count }, (_, index) => [`organisation-${index}`, {
    key_hashes: [createHash('sha256').update(String(index)).digest('hex')],
    models: ['small', 'large'],
    share: 1
  }]))
  return subtreeSchema.parse({
    models: { small: { price, versions: { 1: {}, 2: {} } }, large: { price: 20, versions: { 1: {} } } },
    organisations
  })
}

function median (values: number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
}

async function measureMilliseconds (operation: () => unknown): Promise<number> {
  const startedAt = performance.now()
  await operation()
  return performance.now() - startedAt
}

async function medianMilliseconds (operation: () => unknown): Promise<number> {
  const times: number[] = []
  for (let count = 0; count < repetitions; count++) times.push(await measureMilliseconds(operation))
  return median(times)
}

function heapBytes (): number {
  collectGarbage()
  collectGarbage()
  return process.memoryUsage().heapUsed
}

/** Heap bytes of a received view, including its subtree. */
function viewBytes (organisations: number): number {
  const before = heapBytes()
  const views = Array.from({ length: retainedViews }, () => SettingsView.of(1, new Map([['fleet', organisationsOf(organisations, 1)]])).unwrap())
  const after = heapBytes()
  return (after - before) / views.length
}

async function measure (organisations: number): Promise<Measurement> {
  const clock = new SystemClock()
  const repository = new TableSettingsRepository({ table: new MemoryTableService(), clock, randomness: new SeededRandomness(1) })
  const subtree = organisationsOf(organisations, 1)
  const codec = new Encoder({ useRecords: false, mapsAsObjects: true, variableMapSize: true })
  let revision = 0
  const putMilliseconds = await medianMilliseconds(async () => {
    revision = (await repository.put('fleet', organisationsOf(organisations, revision + 1), { expected: revision, author: 'measure' })).unwrap()
  })
  return {
    organisations,
    storeBytes: Buffer.byteLength(JSON.stringify(subtree)) * 2,
    linkBytes: codec.encode({ revision, age: 12, teams: { fleet: { revision, subtree } } }).length,
    putMilliseconds,
    checkMilliseconds: await medianMilliseconds(() => subtreeSchema.parse(structuredClone(subtree))),
    viewMilliseconds: await medianMilliseconds(() => SettingsView.of(1, new Map([['fleet', subtree]])).unwrap()),
    viewBytes: viewBytes(organisations)
  }
}

async function main (): Promise<void> {
  await measure(100)
  const measurements: Measurement[] = []
  for (const organisations of [10, 100, 300, 1_000]) {
    measurements.push(await measure(organisations))
    console.log(JSON.stringify(measurements.at(-1)))
  }
  const metrics = ['storeBytes', 'linkBytes', 'putMilliseconds', 'checkMilliseconds', 'viewMilliseconds', 'viewBytes'] as const
  const fits = Object.fromEntries(metrics.map(metric => [metric, fitLeastSquares(measurements.map(measurement => [[measurement.organisations], measurement[metric]]))]))
  console.log(JSON.stringify({ measurements, fits }))
}

main()
