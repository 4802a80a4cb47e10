/**
 * Decides which part of a prompt crashes endpoints.
 *
 * A crash is blamed on one run: among those whose prompts have a part that was not answered well lately,
 * the one that had begun last, if that was shortly before, since a prompt that crashes its endpoint does so
 * soon after its run begins. Otherwise nothing is blamed: the endpoint may have crashed for another reason,
 * and a prompt must not be blamed only because all others are cleared. Runs of all organisations compete
 * for the blame, so that one organisation's crashes are not blamed on another.
 *
 * A part is blamed for a sequence of crashes in which each run began after the crash before it. Endpoints
 * that end together, for example with their rack, form no sequence, however many runs they had in common.
 * Of several parts with equally long sequences the one deepest in the prompt is blamed, because the fewest
 * other requests share it.
 */
import { getOrCreate } from '../contract/index.ts'
import { type OrganisationPart, type SuspectRun, organisationParts, partKey } from './contract.ts'

/** Length of a sequence of crashes from which a part is blamed. */
const blamedSequenceLength = 3
/** A run that had begun longer before a crash is not blamed for it. */
const maximumBlamedMilliseconds = 1_000

/** The crash of an endpoint with the runs that all gateways had there. */
export interface ObservedCrash {
  readonly crashedAt: number
  readonly runs: readonly SuspectRun[]
}

/** Whether a part counts as sound at the time of a crash. */
export type SoundnessCheck = (part: OrganisationPart, crashedAt: number) => boolean

/** The time from the begin of a blamed run to the crash. */
interface BlamedInterval {
  readonly begunAt: number
  readonly crashedAt: number
}

interface PartSuspicion {
  readonly part: OrganisationPart
  readonly depth: number
  readonly intervals: BlamedInterval[]
}

/**
 * Returns the part to block.
 *
 * @param crashes without those that a blocked part explains
 * @returns undefined if no part is blamed
 * @example
 * const part = blamedPart(crashes, (part, crashedAt) => answers.isSound(part, crashedAt))
 */
export function blamedPart (crashes: readonly ObservedCrash[], isSound: SoundnessCheck): OrganisationPart | undefined {
  const suspicions = new Map<string, PartSuspicion>()
  for (const crash of crashes) addSuspicions(suspicions, crash, isSound)
  let blamed: { readonly part: OrganisationPart, readonly length: number, readonly depth: number } | undefined
  for (const { part, depth, intervals } of suspicions.values()) {
    const length = longestSequence(intervals)
    if (length < blamedSequenceLength) continue
    const isBlamedMore = blamed === undefined || length > blamed.length || (length === blamed.length && depth > blamed.depth)
    if (isBlamedMore) blamed = { part, length, depth }
  }
  return blamed?.part
}

/** Returns the run that a crash is blamed on; undefined if there is none. */
export function blamedRun ({ crashedAt, runs }: ObservedCrash, isSound: SoundnessCheck): SuspectRun | undefined {
  const recent = runs.filter(({ begunAt }) => crashedAt - begunAt <= maximumBlamedMilliseconds)
  const suspects = recent.filter(({ prompt }) => organisationParts(prompt).some(part => !isSound(part, crashedAt)))
  return suspects.reduce<SuspectRun | undefined>((last, run) => last === undefined || run.begunAt > last.begunAt ? run : last, undefined)
}

function addSuspicions (suspicions: Map<string, PartSuspicion>, crash: ObservedCrash, isSound: SoundnessCheck): void {
  const run = blamedRun(crash, isSound)
  if (run === undefined) return
  for (const [depth, part] of organisationParts(run.prompt).entries()) {
    if (isSound(part, crash.crashedAt)) continue
    const suspicion = getOrCreate(suspicions, partKey(part), () => ({ part, depth, intervals: [] }))
    suspicion.intervals.push({ begunAt: run.begunAt, crashedAt: crash.crashedAt })
  }
}

/** The largest number of intervals of which each begins after the end of the one before. */
function longestSequence (intervals: readonly BlamedInterval[]): number {
  const byEnd = [...intervals].sort((left, right) => left.crashedAt - right.crashedAt)
  let length = 0
  let endedAt = Number.NEGATIVE_INFINITY
  for (const { begunAt, crashedAt } of byEnd) {
    if (begunAt < endedAt) continue
    length++
    endedAt = crashedAt
  }
  return length
}
