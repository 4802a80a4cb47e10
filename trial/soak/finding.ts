/** What a check has found, and what it names. */

export interface Finding {
  /** What must not be, as a sentence. */
  readonly check: string
  /** The request, or what else it is about. */
  readonly subject: string
  readonly gateway: string | undefined
  /** Milliseconds since the Unix epoch. */
  readonly from: number
  readonly to: number
  readonly detail: string
  /** Whether a bound of time was broken. */
  readonly isTimed?: boolean
}

/** A line that names all of a finding, with the seed of its soak. */
export function describeFinding ({ check, subject, gateway, from, to, detail }: Finding, seed: number): string {
  const times = `${new Date(from).toISOString()} to ${new Date(to).toISOString()}`
  return `${check}: ${subject} at ${gateway ?? 'no gateway'}, ${times}, seed ${seed}: ${detail}`
}
