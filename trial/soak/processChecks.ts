/** Checks of the processes themselves. */
import type { Finding } from './finding.ts'
import type { SoakView } from './soakView.ts'

/** Processes that ended by themselves, or with a failure. */
export function findEndedProcesses ({ ends }: SoakView): readonly Finding[] {
  return ends.map(({ process, at, code, signal }) => {
    return { check: 'a process ended by itself', subject: process, gateway: process, from: at, to: at, detail: signal ?? `exit code ${code}` }
  })
}

/** Planned stops that did not end within their grace. */
export function findLateStops ({ stops, bounds }: SoakView): readonly Finding[] {
  return stops.filter(({ isInTime }) => !isInTime).map(({ gateway, startedAt, endedAt }) => {
    return { check: 'a stop that did not end within its grace', subject: gateway, gateway, from: startedAt, to: endedAt, detail: `${endedAt - startedAt} ms of ${bounds.graceMilliseconds}` }
  })
}

/** What the soak could not do, such as a gateway that did not get ready. */
export function findFailures ({ failures }: SoakView): readonly Finding[] {
  return failures.map(({ at, target, fault, reason }) => {
    return { check: 'a process did not do what it was told', subject: target, gateway: target, from: at, to: at, detail: `${fault}: ${reason}` }
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
