/** What a soak may take of the machine that it runs on. */
import { spawnSync } from 'node:child_process'
import { totalmem } from 'node:os'

const bytesPerGateway = 130_000_000
const bytesPerEndpoint = 80_000_000
const memoryShare = 0.5

/**
 * Checks that a world fits into half of the machine's memory.
 *
 * @throws if it does not
 */
export function assertMemory (gateways: number, endpoints: number): void {
  const needed = gateways * bytesPerGateway + endpoints * bytesPerEndpoint
  if (needed > totalmem() * memoryShare) throw new Error(`${gateways} gateways would take more than half of the memory of this machine`)
}

/** What goes ahead of a command to bind it to the first processors; empty where processes can't be bound. */
export function processorBinding (processors: number): readonly string[] {
  const isPresent = spawnSync('taskset', ['--version']).status === 0
  return isPresent ? ['taskset', '-c', `0-${processors - 1}`] : []
}
