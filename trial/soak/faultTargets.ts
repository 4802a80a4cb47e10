/** What faults are done to, as their records name it, besides gateways, endpoints and services. */

export const storeTarget = 'store'
export const machineTarget = 'machine'

/** Between callers and a gateway. */
export function callerLink (gateway: string): string {
  return `callers/${gateway}`
}

/** Between gateways and an endpoint. */
export function endpointLink (endpoint: string): string {
  return `endpoint/${endpoint}`
}

/** Between a gateway and the store. */
export function storeLink (gateway: string): string {
  return `store/${gateway}`
}
