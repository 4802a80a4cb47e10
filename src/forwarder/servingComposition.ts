/** Composes what serves callers and operators: the servers, and the memory that is held for callers. */
import { readyPath } from '../../platform/index.ts'
import { GatewayServer, OperationsServer } from '../gateway/index.ts'
import { HeldBytes, watchCutRequests } from '../server/index.ts'
import type { BootFileHolder, ForwarderDependencies } from './forwarderDependencies.ts'

/** Share of the VM's memory that may be held for callers. */
const heldMemoryShare = 0.15
/** Of a VM that states none. */
const assumedMemoryBytes = 512_000_000
const minimumHeldBytes = 16_000_000
/** Share of the VM's memory that may hold answers which can't be passed on yet. */
const heldAnswerShare = 0.1
/** Share of that memory, in addition to it, for heads that are arriving. */
const headMemoryShare = 0.5
const callerDescriptorShare = 0.5
const assumedDescriptors = 4_096

/** The rest of the memory is for the program, its tables and what the garbage collector has yet to free. */
export function makeHeldBytes ({ boot, clock, metrics }: ForwarderDependencies): HeldBytes {
  return new HeldBytes({ maximumBytes: shareOfMemory(boot, heldMemoryShare), clock, onEviction: () => metrics.evictedHoldings.inc() })
}

export function makeHeldAnswers ({ boot, clock }: ForwarderDependencies): HeldBytes {
  return new HeldBytes({ maximumBytes: shareOfMemory(boot, heldAnswerShare), clock })
}

function shareOfMemory (boot: BootFileHolder, share: number): number {
  return Math.max(minimumHeldBytes, (boot.current.memoryBytes ?? assumedMemoryBytes) * share)
}

export function makeGateway (parts: ForwarderDependencies): GatewayServer {
  const { clock, log, forwarding, listener, plannedStop } = parts
  guardConnections(parts)
  reportCutRequests(parts)
  return new GatewayServer({
    listener,
    plannedStop,
    clock,
    log,
    handle: (request, response, turn) => forwarding.handle(request, response, turn),
    refuseLate: (request, response) => forwarding.refuseStopping(request, response),
    requestsInFlight: () => forwarding.inFlight,
    readRequests: () => forwarding.readRequests
  })
}

/** The other descriptors are for endpoints, peers and the store. */
function guardConnections ({ boot, heldBytes, listener, log, metrics }: ForwarderDependencies): void {
  listener.guardConnections({
    maximumConnections: Math.floor((boot.current.maximumDescriptors ?? assumedDescriptors) * callerDescriptorShare),
    maximumHeadBytes: heldBytes.maximumBytes * headMemoryShare,
    onClose: cause => {
      metrics.closedConnections.inc({ cause })
      log.info('caller_connection_closed', { cause })
    }
  })
}

function reportCutRequests ({ listener, log, metrics, plannedStop, routing }: ForwarderDependencies): void {
  watchCutRequests(listener, (cause, requests) => {
    for (const [state, count] of Object.entries(requests)) metrics.cutRequests.inc({ cause, state }, count)
    log.warn('requests_cut', { cause, ...requests, settings: routing.snapshot?.settings.version, isStopping: plannedStop.hasBegun })
  })
}

export function makeOperations ({ clock, tableLoader, gateway, heldAnswers, heldBytes, loadNews, metrics, logLines, follower }: ForwarderDependencies): OperationsServer {
  return new OperationsServer({
    readyPath,
    isReady: () => tableLoader.isComplete && !gateway.isDraining,
    metrics: {
      text: () => {
        metrics.droppedLogLines.set(logLines.droppedCount)
        metrics.heldAnswerBytes.set(heldAnswers.totalBytes)
        metrics.heldBytes.set(heldBytes.totalBytes)
        metrics.storeLost.set(follower.hasFailingFeed ? 1 : 0)
        metrics.confirmationAge.reset()
        metrics.confirmationAge.set({ hop: follower.stalestConfirmation?.hop ?? 'none' }, follower.ageMilliseconds / 1_000)
        metrics.loadNewsAge.set(loadNews.ageMilliseconds(clock.now()) / 1_000)
        return metrics.text()
      }
    }
  })
}
