/** Work by endpoint as bytes of fixed size, so that a seed on a slow machine can read and write many reports. */
import type { EndpointWork, WorkByEndpoint } from './contract.ts'

/** Bytes of an entry: the endpoint's key, its runs, and its work in units. */
export const entryBytes = 8
const runsOffset = 4
const workOffset = 6
const workUnitMilliseconds = 4
const maximumNumber = 0xffff
/** Endpoints beyond these are left out. */
export const maximumEntries = 4_096

/**
 * Encodes work; what exceeds the largest number is cut.
 *
 * @example
 * const bytes = encodeWork(new Map([[loadKey('i-7f3a@1'), { runs: 3, workMilliseconds: 420 }]]))
 */
export function encodeWork (work: WorkByEndpoint): Uint8Array {
  const entries = [...work].filter(([, { runs }]) => runs > 0).slice(0, maximumEntries)
  const bytes = new Uint8Array(entries.length * entryBytes)
  const view = new DataView(bytes.buffer)
  entries.forEach(([key, { runs, workMilliseconds }], index) => {
    const offset = index * entryBytes
    view.setUint32(offset, key)
    view.setUint16(offset + runsOffset, Math.min(maximumNumber, runs))
    view.setUint16(offset + workOffset, Math.min(maximumNumber, Math.round(workMilliseconds / workUnitMilliseconds)))
  })
  return bytes
}

/** Whether bytes that arrived are encoded work. */
export function isEncodedWork (value: unknown): boolean {
  return value instanceof Uint8Array && value.length % entryBytes === 0 && value.length <= maximumEntries * entryBytes
}

/** Decodes work. */
export function decodeWork (bytes: Uint8Array): WorkByEndpoint {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.length)
  const work = new Map<number, EndpointWork>()
  for (let offset = 0; offset < bytes.length; offset += entryBytes) {
    work.set(view.getUint32(offset), {
      runs: view.getUint16(offset + runsOffset),
      workMilliseconds: view.getUint16(offset + workOffset) * workUnitMilliseconds
    })
  }
  return work
}
