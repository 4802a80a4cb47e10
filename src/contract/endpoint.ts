/** The back ends as settings describe them and as their reports show them. */
import type { Place } from './place.ts'
import type { VersionName } from './version.ts'

/** What stands behind an address. */
export const EndpointKind = {
  /** A model engine. */
  Engine: 'engine',
  /** A plain service, some of whose calls are not idempotent. */
  Service: 'service'
} as const
export type EndpointKind = typeof EndpointKind[keyof typeof EndpointKind]

/** An endpoint as the operators' settings name it. */
export interface EndpointDescription {
  readonly name: string
  readonly kind: EndpointKind
  /** `IP:port`. */
  readonly address: string
  readonly place: Place
  /** For an engine: the versions it is meant to have loaded. */
  readonly versions: readonly VersionName[]
  /** For a plain service: the service's name. */
  readonly service: string | undefined
  /** Whether it refuses orders that carry an old fencing number. */
  readonly checksFencing: boolean
}

/** What an engine reports about its load. It is late by the time it is read. */
export interface LoadReport {
  /** When the engine made it: milliseconds since the epoch by the engine's clock. */
  readonly at: number
  /** The engine process's start, which grows with each restart. */
  readonly incarnation: number
  /** Versions loaded and ready. */
  readonly versions: readonly VersionName[]
  /** Requests decoding now. */
  readonly running: number
  /** Requests waiting for a place in a batch. */
  readonly queued: number
  /** Prompt tokens waiting for prefill. */
  readonly queuedPromptTokens: number
  /** Streams it can decode at once, over all its accelerators. */
  readonly streamLimit: number
  /** Prompt tokens a second it prefills, measured by itself. */
  readonly prefillTokensPerSecond: number
  /** Milliseconds between two tokens of a stream at the present batch. */
  readonly betweenTokensMilliseconds: number
  /** Whether it takes no new work because it is leaving. */
  readonly leaving: boolean
}
