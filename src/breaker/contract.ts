/**
 * What the circuit breaker on the content of requests learns and decides. A gateway is any process that
 * forwards requests to endpoints. All times are milliseconds of the process's clock.
 */

/** What a request asks of an endpoint, as far as other requests may ask for the same. */
export interface SharedPrompt {
  /** Who sent it; empty for a caller without an organisation. */
  readonly organisation: string
  /** Identifiers of prompt parts, in order, without the last one, which belongs to one request or session alone; none for a plain service. */
  readonly parts: readonly string[]
  /** Digest of the whole request, which its repeats share; undefined if it is not known. */
  readonly request?: string
}

/** A part of what an organisation's requests contain. The same part in requests of two organisations counts as two. */
export interface OrganisationPart {
  readonly organisation: string
  /** A prompt part, or a whole request as `requestPart` names it. */
  readonly part: string
}

/** A run whose response had begun when its endpoint crashed, with the prompt parts that others may share. */
export interface SuspectRun {
  readonly prompt: SharedPrompt
  readonly begunAt: number
}

/** A request that had been sent to an endpoint and was not answered when that crashed, whether or not its run had begun. */
export interface SuspectRequest {
  readonly organisation: string
  readonly request: string
  readonly sentAt: number
  /** The prompt parts that it shares with others, if its run had not begun; undefined otherwise. */
  readonly parts?: readonly string[]
}

/** What one gateway saw of the crash of an endpoint's incarnation. */
export interface CrashReport {
  readonly instance: string
  /** The gateway's name. */
  readonly reporter: string
  readonly crashedAt: number
  readonly runs: readonly SuspectRun[]
  /** Absent in reports of gateways of earlier builds. */
  readonly requests?: readonly SuspectRequest[]
  /** How many crashes the reporter had seen before of an endpoint whose incarnations can't be told apart; undefined for others. */
  readonly recurrence?: number
}

/** A part that no request may contain for a while, since the endpoints that worked on it crashed. */
export interface PartBlock extends OrganisationPart {
  /** The gateway that may try a request with the part again. */
  readonly holder: string
  /** How often the part has been blocked in a row; 1 or more. */
  readonly trips: number
  readonly blockedAt: number
}

/** A part that was answered well. */
export interface PartAnswer extends OrganisationPart {
  readonly answeredAt: number
}

/** A change that an operator may want to know of. */
export type BreakerChange =
  | { readonly type: 'blocked', readonly block: PartBlock }
  | { readonly type: 'cleared', readonly block: PartBlock }
  | { readonly type: 'trial', readonly block: PartBlock }

/** Why a request is not sent to any endpoint. */
export interface BlockedPrompt {
  readonly part: string
  /** Time until the part may be tried again at all gateways. */
  readonly retryAfterMilliseconds: number
}

const requestPrefix = 'request-'

/** The identifier of a whole request as a part of its own content. */
export function requestPart (digest: string): string {
  return requestPrefix + digest
}

/**
 * Whether a part is a whole request rather than a prompt part, which other requests share.
 *
 * @example
 * isRequestPart(block.part) ? 'request_blocked' : 'prompt_blocked'
 */
export function isRequestPart (part: string): boolean {
  return part.startsWith(requestPrefix)
}

/** The key of a part in maps. */
export function partKey ({ organisation, part }: OrganisationPart): string {
  return `${organisation}\n${part}`
}

/** The prompt parts that other requests may share, each with its organisation. */
export function sharedParts ({ organisation, parts }: SharedPrompt): readonly OrganisationPart[] {
  return parts.map(part => ({ organisation, part }))
}

/** All parts of what a request contains, the whole request last, since the fewest others share it. */
export function organisationParts (prompt: SharedPrompt): readonly OrganisationPart[] {
  const { organisation, request } = prompt
  return request === undefined ? sharedParts(prompt) : [...sharedParts(prompt), { organisation, part: requestPart(request) }]
}

/** A suspected request as a part. */
export function partOfSuspect ({ organisation, request }: SuspectRequest): OrganisationPart {
  return { organisation, part: requestPart(request) }
}

/** A suspected prompt part and the begin of its run, or the sending of its request if that had not begun. */
export interface SuspectPart {
  readonly part: OrganisationPart
  readonly startedAt: number
}

/** The prompt parts that the runs and waiting requests at a crash share with others. */
export function suspectParts ({ runs, requests = [] }: Pick<CrashReport, 'runs' | 'requests'>): readonly SuspectPart[] {
  const begun = runs.flatMap(({ prompt, begunAt }) => sharedParts(prompt).map(part => ({ part, startedAt: begunAt })))
  const waiting = requests.flatMap(({ organisation, parts = [], sentAt }) => sharedParts({ organisation, parts }).map(part => ({ part, startedAt: sentAt })))
  return [...begun, ...waiting]
}
