/** `lavenderdoor stand-in …`: runs a stand-in for the platform or an endpoint in a process of its own, for trials. */
import { Err, Ok, type Result, type VersionName } from '../contract/index.ts'
import { startEngine, startPlatform, startService } from '../standin/index.ts'
import { CommandFailure, ExitCode } from './commandFailure.ts'
import { printLine } from './output.ts'

export interface StandInOptions {
  readonly listen: string
  readonly name?: string
  readonly versions?: readonly string[]
  readonly speed?: string
  readonly streams?: string
  readonly ignoreFencing?: boolean
}

interface RunningStandIn {
  readonly address: string
  close (): Promise<void>
}

/** Runs a stand-in until SIGTERM or SIGINT. */
export async function runStandIn (kind: string, options: StandInOptions): Promise<Result<void, CommandFailure>> {
  const running = await startStandIn(kind, options)
  if (running === undefined) return Err(new CommandFailure(`unknown kind of stand-in ${JSON.stringify(kind)}: expected platform, engine or service`, ExitCode.Usage))
  printLine(JSON.stringify({ event: 'stand_in_listening', kind, address: running.address }))
  await waitForStopSignal()
  await running.close()
  return Ok(undefined)
}

async function startStandIn (kind: string, options: StandInOptions): Promise<RunningStandIn | undefined> {
  const { listen } = options
  const name = options.name ?? kind
  switch (kind) {
    case 'platform': return await startPlatform({ listen })
    case 'service': return await startService({ listen, name })
    case 'engine': return await startEngine({
      listen,
      name,
      versions: (options.versions ?? []) as VersionName[],
      speed: Number(options.speed ?? 1),
      streamLimit: Number(options.streams ?? 32),
      checksFencing: options.ignoreFencing !== true
    })
    default: return undefined
  }
}

/** Waits for SIGTERM or SIGINT. */
export function waitForStopSignal (): Promise<NodeJS.Signals> {
  return new Promise(resolve => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
}
