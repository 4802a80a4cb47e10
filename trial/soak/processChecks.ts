/** Checks of the processes themselves. */
import type { Finding } from './finding.ts'
import type { SoakView } from './soakView.ts'

/** Processes that ended by themselves, or with a failure. */
export function findEndedProcesses ({ ends }: SoakView): readonly Finding[] {
  return ends.map(({ process, at, code, signal }) => {
    return { check: 'a process ended by itself', subject: process, gateway: process, from: at, to: at, detail: signal ?? `exit code ${code}` }
  })
}

/** Gateways that took more memory than their VM has: the first moment of each. */
export function findLargeProcesses ({ memory, bounds }: SoakView): readonly Finding[] {
  const large = memory.filter(({ bytes }) => bytes > bounds.memoryBytes)
  const first = large.filter(({ gateway }, index) => large.findIndex(other => other.gateway === gateway) === index)
  return first.map(({ gateway, at, bytes }) => {
    return { check: 'more memory than the VM has', subject: gateway, gateway, from: at, to: at, detail: `${bytes} bytes of ${bounds.memoryBytes}` }
  })
}
