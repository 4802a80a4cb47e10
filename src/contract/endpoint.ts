/** Endpoints as described by the settings, and the load that they report. */
import type { Place } from './place.ts'
import type { VersionName } from './version.ts'

export const EndpointKind = {
  /** A model engine. */
  Engine: 'engine',
  /** A plain service; some of its operations are not idempotent. */
  Service: 'service'
} as const
export type EndpointKind = typeof EndpointKind[keyof typeof EndpointKind]

/** An endpoint as configured in the operators' settings. */
export interface EndpointDescription {
  readonly name: string
  readonly kind: EndpointKind
  /** `IP:port`. */
  readonly address: string
  readonly place: Place
  /** For an engine: the versions that it should have loaded. */
  readonly versions: readonly VersionName[]
  /** For a plain service: the name of the service. */
  readonly service: string | undefined
  /** Whether it rejects orders with an outdated fencing token. */
  readonly checksFencing: boolean
}

/** The load that an engine reports. The report is always somewhat out of date when it is read. */
export interface LoadReport {
  /** Time of the report by the engine's clock, in milliseconds since the epoch. */
  readonly at: number
  /** Identifies the start of the engine process; increases with each restart. */
  readonly incarnation: number
  /** Versions loaded and ready. */
  readonly versions: readonly VersionName[]
  /** Requests being decoded. */
  readonly running: number
  /** Requests waiting for a batch slot. */
  readonly queued: number
  /** Prompt tokens waiting for prefill. */
  readonly queuedPromptTokens: number
  /** Maximum number of streams decoded concurrently, over all accelerators. */
  readonly streamLimit: number
  /** Prefill rate in prompt tokens per second, measured by the engine. */
  readonly prefillTokensPerSecond: number
  /** Time between two tokens of a stream at the current batch size. */
  readonly betweenTokensMilliseconds: number
  /** Whether the engine is shutting down and accepts no new requests. */
  readonly leaving: boolean
}
