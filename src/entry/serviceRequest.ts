/** A call of a caller to a plain service. */
import type { TraceContext } from '../observe/index.ts'
import type { OrganisationView } from '../settings/index.ts'

/** An authenticated call to a plain service, with a deadline. */
export interface ServiceRequest {
  readonly id: string
  readonly organisation: OrganisationView
  readonly service: string
  readonly method: string
  readonly path: string
  readonly idempotent: boolean
  readonly contentType: string | undefined
  readonly body: Uint8Array | undefined
  readonly idempotencyKey: string | undefined
  /** Milliseconds since the epoch. */
  readonly deadline: number
  readonly parent: TraceContext | undefined
}
