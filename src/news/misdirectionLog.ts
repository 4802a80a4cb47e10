/** Logs endpoints whose address answers for another one, and that they are at their address again. */
import { type MisdirectionChange, MisdirectionChangeType } from '../misdirection/index.ts'
import type { Log } from '../observe/index.ts'

const eventsByType = {
  [MisdirectionChangeType.AddressLost]: 'endpoint_address_lost',
  [MisdirectionChangeType.AddressTried]: 'endpoint_address_tried',
  [MisdirectionChangeType.AddressConfirmed]: 'endpoint_address_confirmed'
} as const

/**
 * Logs a change as `endpoint_address_lost`, `endpoint_address_tried` or `endpoint_address_confirmed`.
 *
 * @example
 * new MisdirectedEndpoints({ ...options, onChange: change => logMisdirection(log, change) })
 */
export function logMisdirection (log: Log, { type, fact, source }: MisdirectionChange): void {
  const { instance, address, heartbeat, revision } = fact
  const level = type === MisdirectionChangeType.AddressLost ? 'warn' : 'info'
  log[level](eventsByType[type], { endpoint: instance, address, heartbeat, revision, source })
}
