/**
 * A process of several callers. Its only argument is a `CallerProcessSettings` as JSON; each message that it gets is a
 * `CallerTargets`. It prints a record for each request, and ends by itself.
 */
import { type CallerChoices, CallerPlan } from './callerPlan.ts'
import { randomnessOf } from './faultPlan.ts'
import { type CalledGateway, SoakCaller } from './soakCaller.ts'

export interface CallerProcessSettings {
  readonly name: string
  readonly seed: number
  readonly callerCount: number
  /** When calling ends, in milliseconds since the Unix epoch. */
  readonly endsAt: number
}

/** What callers may call at the moment. */
export interface CallerTargets extends CallerChoices {
  /** Where new connections may go. */
  readonly gateways: readonly CalledGateway[]
}

async function call ({ name, seed, callerCount, endsAt }: CallerProcessSettings): Promise<void> {
  let targets: CallerTargets = { gateways: [], routes: [], keys: [] }
  process.on('message', message => { targets = message as CallerTargets })
  process.on('disconnect', () => process.exit(0))
  const callers = Array.from({ length: callerCount }, (_, number) => {
    const plan = new CallerPlan(randomnessOf(seed, `${name}-${number}`), () => targets)
    return new SoakCaller(`${name}-${number}`, plan, () => targets.gateways, record => process.stdout.write(`${JSON.stringify(record)}\n`))
  })
  await Promise.all(callers.map(caller => caller.run(endsAt)))
  process.stdout.write('', () => process.exit(0))
}

call(JSON.parse(process.argv[2] ?? '{}')).catch(error => {
  console.error(error)
  process.exit(1)
})
