/**
 * Decides which part of what requests contain crashes endpoints.
 *
 * A prompt part is blamed through one run at each crash: among those whose prompts have a part that was not
 * answered well lately, the one that had begun last, if that was shortly before, since a prompt that crashes
 * its endpoint does so soon after its run begins. Otherwise no prompt part is blamed: the endpoint may have
 * crashed for another reason, and a prompt must not be blamed only because all others are cleared. Runs of all
 * organisations compete for the blame, so that one organisation's crashes are not blamed on another.
 *
 * A whole request is suspected at each crash at which it had been sent and was not answered, since nothing
 * may tell that its run began. What clears the sound requests beside it is that they are answered elsewhere:
 * crashes from before a request's last answer do not count.
 *
 * A part is blamed for a sequence of crashes that followed one another. Endpoints that end together, for
 * example with their rack, form no sequence, however many runs they had in common. The longest sequence is
 * blamed first; of several equally long ones that of the part deepest in the content, because the fewest
 * other requests share it. Requests that lay at the same crashes can't be told apart: more crashes are
 * awaited, up to a bound, since a sound request is answered before long.
 */
import { getOrCreate } from '../contract/index.ts'
import { type OrganisationPart, type SuspectRequest, type SuspectRun, partKey, partOfSuspect, requestPart, sharedParts } from './contract.ts'

/** Length of a sequence of crashes from which a part is blamed. */
const blamedSequenceLength = 3
/** Length from which requests that can't be told apart are blamed, and parts of prompts that only waited. */
const undecidedSequenceLength = 5
/** A run that had begun longer before a crash is not blamed for it. */
const maximumBlamedMilliseconds = 1_000
/** Crashes under one request that are this far apart follow one another, whenever it was sent. */
const separateCrashMilliseconds = 100
/** What another gateway tells is dated too late by the time for which its news was on the way, mostly no longer than this. */
const newsDelayMilliseconds = 50
/** Endpoints that end together crash within a shorter time, as their gateways see it. */
const distinctCrashMilliseconds = 15
/** A request is shared by fewer others than any prompt part. */
const requestDepth = Number.POSITIVE_INFINITY

/** The crash of an endpoint with the runs and requests that all gateways had there. */
export interface ObservedCrash {
  readonly crashedAt: number
  /** The gateways that saw it themselves. */
  readonly reporters: ReadonlySet<string>
  readonly runs: readonly SuspectRun[]
  readonly requests: readonly ReportedRequest[]
  /** Whether a blocked request explains it; it then counts only for what several requests share. */
  readonly isExplainedByRequest: boolean
}

/** A suspected request with the gateway that sent it. */
export interface ReportedRequest extends SuspectRequest {
  readonly reporter: string
}

/** What is known of good answers. */
export interface AnswerEvidence {
  /** Whether a prompt part counts as sound at the time of a crash. */
  isSound (part: OrganisationPart, crashedAt: number): boolean
  /** When a request was last answered; undefined if that is not known. */
  lastAnsweredAt (request: OrganisationPart): number | undefined
}

/** The time from the begin of a blamed run, or from the sending of a suspected request, to the crash. */
interface BlamedInterval {
  readonly startedAt: number
  readonly crash: ObservedCrash
  /** The gateway that sent a suspected request; undefined for a run that had begun. */
  readonly reporter?: string
  /** Whether the run is not known to have begun. */
  readonly isWaiting?: boolean
}

interface PartSuspicion {
  readonly part: OrganisationPart
  readonly depth: number
  readonly intervals: BlamedInterval[]
}

/** A suspicion with its longest sequence of crashes. */
interface Suspect {
  readonly part: OrganisationPart
  readonly depth: number
  readonly sequence: readonly ObservedCrash[]
  /** Length of a sequence from which it is blamed. */
  readonly blamedLength: number
}

/**
 * Returns the parts to block: one, or several requests that can't be told apart.
 *
 * @param crashes without those that a blocked prompt part explains
 * @returns nothing if no part is blamed
 * @example
 * for (const part of blamedParts(crashes, answers)) block(part)
 */
export function blamedParts (crashes: readonly ObservedCrash[], answers: AnswerEvidence): readonly OrganisationPart[] {
  const suspects = suspectsOf(crashes, answers).filter(({ sequence, blamedLength }) => sequence.length >= blamedLength)
  suspects.sort((left, right) => right.sequence.length - left.sequence.length || compare(right.depth, left.depth))
  for (const suspect of suspects) {
    const tied = tiedWith(suspect, suspects)
    if (tied.length === 1 || suspect.sequence.length >= undecidedSequenceLength) return tied.map(({ part }) => part)
  }
  return []
}

/**
 * The longest sequence of crashes at which one request lay unanswered, whatever explains them.
 *
 * @example
 * const isSuspected = crashesUnder(crashes, request, answers).length >= 2
 */
export function crashesUnder (crashes: readonly ObservedCrash[], request: OrganisationPart, answers: AnswerEvidence): readonly ObservedCrash[] {
  const answeredAt = answers.lastAnsweredAt(request) ?? Number.NEGATIVE_INFINITY
  const isMeant = (suspect: SuspectRequest) => suspect.organisation === request.organisation && requestPart(suspect.request) === request.part && suspect.sentAt > answeredAt
  const intervals = crashes.flatMap(crash => crash.requests.filter(isMeant).map(({ sentAt, reporter }) => ({ startedAt: sentAt, crash, reporter })))
  return longestSequence(intervals, requestDepth)
}

function suspectsOf (crashes: readonly ObservedCrash[], answers: AnswerEvidence): Suspect[] {
  const suspicions = new Map<string, PartSuspicion>()
  for (const crash of crashes) {
    addPartSuspicions(suspicions, crash, answers)
    if (!crash.isExplainedByRequest) addRequestSuspicions(suspicions, crash, answers)
  }
  const suspects = [...suspicions.values()].map(suspectOf)
  // Crashes under one request that is blocked already blame a prompt part only together with another crash.
  return suspects.filter(({ sequence }) => sequence.some(crash => !crash.isExplainedByRequest))
}

function suspectOf ({ part, depth, intervals }: PartSuspicion): Suspect {
  const begun = longestSequence(intervals.filter(({ isWaiting }) => isWaiting !== true), depth)
  const blamedLength = begun.length >= blamedSequenceLength ? blamedSequenceLength : undecidedSequenceLength
  return { part, depth, sequence: longestSequence(intervals, depth), blamedLength }
}

/** A suspect and the requests with as long a sequence that lay at one of its crashes. */
function tiedWith (suspect: Suspect, suspects: readonly Suspect[]): readonly Suspect[] {
  if (suspect.depth !== requestDepth) return [suspect]
  return suspects.filter(other => other.depth === requestDepth && other.sequence.length === suspect.sequence.length && other.sequence.some(crash => suspect.sequence.includes(crash)))
}

/** The run that a crash is blamed on; undefined if there is none. */
function blamedRun ({ crashedAt, runs }: ObservedCrash, answers: AnswerEvidence): SuspectRun | undefined {
  const recent = runs.filter(({ begunAt }) => crashedAt - begunAt <= maximumBlamedMilliseconds)
  const suspects = recent.filter(({ prompt }) => sharedParts(prompt).some(part => !answers.isSound(part, crashedAt)))
  return suspects.reduce<SuspectRun | undefined>((last, run) => last === undefined || run.begunAt > last.begunAt ? run : last, undefined)
}

function addPartSuspicions (suspicions: Map<string, PartSuspicion>, crash: ObservedCrash, answers: AnswerEvidence): void {
  const run = blamedRun(crash, answers)
  const waiting = crash.requests.map(({ organisation, parts = [], sentAt }) => ({ prompt: { organisation, parts }, startedAt: sentAt, isWaiting: true }))
  const blamed = run === undefined ? waiting : [{ prompt: run.prompt, startedAt: run.begunAt, isWaiting: false }]
  for (const { prompt, startedAt, isWaiting } of blamed) {
    for (const [depth, part] of sharedParts(prompt).entries()) {
      if (!answers.isSound(part, crash.crashedAt)) addInterval(suspicions, part, depth, { startedAt, crash, isWaiting })
    }
  }
}

function addRequestSuspicions (suspicions: Map<string, PartSuspicion>, crash: ObservedCrash, answers: AnswerEvidence): void {
  for (const request of crash.requests) {
    const part = partOfSuspect(request)
    const answeredAt = answers.lastAnsweredAt(part) ?? Number.NEGATIVE_INFINITY
    if (request.sentAt > answeredAt) addInterval(suspicions, part, requestDepth, { startedAt: request.sentAt, crash, reporter: request.reporter })
  }
}

function addInterval (suspicions: Map<string, PartSuspicion>, part: OrganisationPart, depth: number, interval: BlamedInterval): void {
  getOrCreate(suspicions, partKey(part), () => ({ part, depth, intervals: [] })).intervals.push(interval)
}

/** The crashes of a longest sequence in which each follows the one before. */
function longestSequence (intervals: readonly BlamedInterval[], depth: number): readonly ObservedCrash[] {
  const byEnd = [...intervals].sort((left, right) => left.crash.crashedAt - right.crash.crashedAt)
  const sequence: ObservedCrash[] = []
  for (const interval of byEnd) {
    // Several gateways may have sent a request to the endpoint that crashed.
    if (sequence.includes(interval.crash)) continue
    const earlier = sequence.at(-1)
    const follows = earlier === undefined || interval.startedAt >= earlier.crashedAt || (depth === requestDepth && repeatMayFollow(interval, earlier))
    if (follows) sequence.push(interval.crash)
  }
  return sequence
}

/**
 * Whether a request may have been sent after an earlier crash, although the known times say that it was not. They
 * are exact if the gateway that sent the request saw that crash itself.
 */
function repeatMayFollow ({ startedAt, crash, reporter }: BlamedInterval, earlier: ObservedCrash): boolean {
  const millisecondsBetween = crash.crashedAt - earlier.crashedAt
  if (millisecondsBetween >= separateCrashMilliseconds) return true
  if (reporter === undefined || earlier.reporters.has(reporter)) return false
  return millisecondsBetween >= distinctCrashMilliseconds && startedAt >= earlier.crashedAt - newsDelayMilliseconds
}

function compare (left: number, right: number): number {
  return left === right ? 0 : left - right
}
