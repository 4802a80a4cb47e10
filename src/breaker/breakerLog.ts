/** Logs what the breaker changes. Parts are identifiers or hashes, never text of a prompt or request. */
import type { Log } from '../observe/index.ts'
import { type BreakerChange, isRequestPart } from './contract.ts'

/**
 * Logs a change as `prompt_blocked`, `prompt_cleared` or `prompt_trial`, or as `request_blocked` and so on for a whole request.
 *
 * @example
 * new PromptBreaker({ name, onChange: change => logBreakerChange(log, change) })
 */
export function logBreakerChange (log: Log, { type, block }: BreakerChange): void {
  const subject = isRequestPart(block.part) ? 'request' : 'prompt'
  log.warn(`${subject}_${type}`, { organisation: block.organisation, part: block.part, holder: block.holder, trips: block.trips })
}
