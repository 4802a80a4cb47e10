/** Clients of the stand-ins, and their shutdown after each test. */
import { type EndpointDescription, SystemClock } from '../../src/contract/index.ts'
import { HttpEngineClient, HttpServiceClient } from '../../src/endpoint/index.ts'
import type { StandIn } from '../../src/standin/index.ts'

export const clock = new SystemClock()
export const engineClient = new HttpEngineClient({ clock, connectTimeoutMilliseconds: 5_000, inactivityTimeoutMilliseconds: 5_000 })
export const serviceClient = new HttpServiceClient({ clock, connectTimeoutMilliseconds: 5_000, inactivityTimeoutMilliseconds: 5_000 })

const openStandIns: StandIn[] = []

/** Closes all stand-ins registered with `closeAfterTest`. */
export async function closeStandIns (): Promise<void> {
  await Promise.all(openStandIns.splice(0).map(standIn => standIn.close()))
}

/** Registers a stand-in to be closed by `closeStandIns`. */
export async function closeAfterTest (starting: Promise<StandIn>): Promise<StandIn> {
  const standIn = await starting
  openStandIns.push(standIn)
  return standIn
}

/** Describes a stand-in as an endpoint; it serves as engine and as service alike. */
export function endpointAt (standIn: StandIn): EndpointDescription {
  return { name: 'e', kind: 'engine', address: standIn.address, place: { region: 'r', dataCentre: 'd' }, versions: ['small@1'], service: 'ledger', checksFencing: true }
}
