/**
 * A process of several callers. Its only argument is a `CallerProcessSettings` as JSON; each message that it gets lists the gateways
 * that new connections may go to. It prints a record for each request, and ends by itself.
 */
import { SeededRandomness } from '../../src/contract/index.ts'
import { CallerPlan, type SoakRoute } from './callerPlan.ts'
import { type CalledGateway, SoakCaller } from './soakCaller.ts'

export interface CallerProcessSettings {
  readonly name: string
  readonly seed: number
  readonly callerCount: number
  readonly routes: readonly SoakRoute[]
  /** API keys of several organisations. */
  readonly keys: readonly string[]
  /** When calling ends, in milliseconds since the Unix epoch. */
  readonly endsAt: number
}

/** Keeps the numbers of callers of one seed apart from those of the next. */
const seedStride = 1_000

async function call ({ name, seed, callerCount, routes, keys, endsAt }: CallerProcessSettings): Promise<void> {
  let gateways: readonly CalledGateway[] = []
  process.on('message', message => { gateways = message as readonly CalledGateway[] })
  process.on('disconnect', () => process.exit(0))
  const callers = Array.from({ length: callerCount }, (_, number) => {
    const plan = new CallerPlan(new SeededRandomness(seed * seedStride + number), routes, keys)
    return new SoakCaller(`${name}-${number}`, plan, () => gateways, record => process.stdout.write(`${JSON.stringify(record)}\n`))
  })
  await Promise.all(callers.map(caller => caller.run(endsAt)))
  process.stdout.write('', () => process.exit(0))
}

call(JSON.parse(process.argv[2] ?? '{}')).catch(error => {
  console.error(error)
  process.exit(1)
})
