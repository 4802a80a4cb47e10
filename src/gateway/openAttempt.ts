/** One attempt of a forwarded request at an endpoint, and how it may end. */
import type { EndpointRun } from '../breaker/index.ts'
import type { Exchange } from '../endpoint/index.ts'
import type { SendPermit } from '../rateLimit/index.ts'
import type { AttemptTracker, EvidenceRun, RunDuration } from '../placement/index.ts'
import type { RoutedEndpoint } from '../routing/index.ts'

/** An attempt in progress at an endpoint. */
export interface OpenAttempt {
  readonly endpoint: RoutedEndpoint
  readonly model: string | undefined
  readonly exchange: Exchange
  readonly startedAt: number
  /** Time that its endpoint is expected to need for reading the prompt. */
  readonly promptMilliseconds: number
  /** Takes back what is to happen at the end of a planned stop. */
  readonly forgetStop: () => void
  readonly tracker: AttemptTracker
  readonly duration: RunDuration
  readonly run: EndpointRun
  /** Its place under the endpoint's rate limit. */
  readonly permit: SendPermit
  /** Evidence on the endpoint's version; undefined while no roll-out is ordered. */
  readonly evidence: EvidenceRun | undefined
  /** Whether it was cancelled because its prompt was blocked. */
  readonly isBlocked: () => boolean
  /** Once it is over, it need not end with its caller's connection. */
  readonly unfollowCaller: () => void
}

/** Why an endpoint states that it did not execute a request. */
export const NotExecutedReason = {
  /** The endpoint is at capacity, or the deadline has passed. */
  Refused: 'refused',
  /** The address now belongs to another endpoint. */
  Misdirected: 'misdirected'
} as const
export type NotExecutedReason = typeof NotExecutedReason[keyof typeof NotExecutedReason]

/** Whether a request is written to an endpoint for the first time, or was written to it or another before. */
export const SendKind = {
  First: 'first',
  Retry: 'retry'
} as const
export type SendKind = typeof SendKind[keyof typeof SendKind]

/** Where an attempt was held back for a rate limit. */
export const HeldBackAt = {
  /** No endpoint had a place, so the request had to wait or was refused. */
  Choice: 'choice',
  /** The endpoint's place was gone when the request was to be sent. */
  Send: 'send',
  /** No place was to come in time. */
  Refusal: 'refusal'
} as const

/** How far a run had got when it broke off. */
export const RunProgress = {
  /** Nothing of a response had arrived. */
  Waiting: 'waiting',
  /** The head of its response had arrived. */
  Begun: 'begun'
} as const

/** A run that another one is to take the place of. */
export interface RunReplacement {
  /** Asked in the event-loop turn that would write the other run. */
  readonly isStillWanted: () => boolean
  /** Called in the event-loop turn that writes the other run. */
  readonly onWrite: () => void
}

export interface AttemptOptions {
  readonly model: string | undefined
  readonly lastEventId: string | undefined
  /** Whether the attempt uses a dedicated connection instead of a pooled one. */
  readonly usesOwnConnection: boolean
  /** The run that it takes the place of; none by default. */
  readonly replacement?: RunReplacement
}

/** Why a response without a frame counts as broken off although its connection ended in order. */
export const endpointEndedReason = 'endpoint ended with its response'

const firstServerErrorStatus = 500

/**
 * Whether a status says that the endpoint failed.
 *
 * @example
 * const end = isServerError(status) ? AttemptEnd.Failed : AttemptEnd.Answered
 */
export function isServerError (status: number): boolean {
  return status >= firstServerErrorStatus
}
