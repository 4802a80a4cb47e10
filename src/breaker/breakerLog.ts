/** Logs what the breaker on prompt parts changes. Parts are identifiers or hashes, never text of a prompt. */
import type { Log } from '../observe/index.ts'
import type { BreakerChange } from './contract.ts'

/**
 * Logs a change as `prompt_blocked`, `prompt_cleared` or `prompt_trial`.
 *
 * @example
 * new PromptBreaker({ name, onChange: change => logBreakerChange(log, change) })
 */
export function logBreakerChange (log: Log, { type, block }: BreakerChange): void {
  log.warn(`prompt_${type}`, { organisation: block.organisation, part: block.part, holder: block.holder, trips: block.trips })
}
