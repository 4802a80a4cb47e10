/**
 * What the circuit breaker on prompt parts learns and decides. A gateway is any process that forwards
 * requests to endpoints. All times are milliseconds of the process's clock.
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

/** A part of an organisation's prompts. The same part in the prompts of two organisations counts as two. */
export interface OrganisationPart {
  readonly organisation: string
  readonly part: string
}

/** A run whose response had begun when its endpoint crashed. */
export interface SuspectRun {
  readonly prompt: SharedPrompt
  readonly begunAt: number
}

/** What one gateway saw of the crash of an endpoint's incarnation. */
export interface CrashReport {
  readonly instance: string
  /** The gateway's name. */
  readonly reporter: string
  readonly crashedAt: number
  readonly runs: readonly SuspectRun[]
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

/** The key of a part in maps. */
export function partKey ({ organisation, part }: OrganisationPart): string {
  return `${organisation}\n${part}`
}

/** The parts of a prompt, each with its organisation. */
export function organisationParts ({ organisation, parts }: SharedPrompt): readonly OrganisationPart[] {
  return parts.map(part => ({ organisation, part }))
}
