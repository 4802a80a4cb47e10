/**
 * Which model the next run of a streamed request asks, and whether a smaller model's answer is good enough.
 * It also tells the model cascade how the runs went.
 */
import { Wait } from '../contract/index.ts'
import type { CascadePlan } from '../placement/index.ts'
import type { RequestHead, Route } from '../routing/index.ts'
import type { ForwardingDependencies } from './forwardingDependencies.ts'
import type { RequestAttempts } from './requestAttempts.ts'

/** The smaller model, the larger one, and a further run if that breaks off. */
const attemptsOfCascade = 3

/** The request for which models are chosen. All times are milliseconds of the process's clock. */
export interface ModelRequest {
  readonly head: RequestHead
  readonly route: Route
  readonly deadline: number
  readonly now: number
  /** Remaining share of the latency target, 0 to 1. */
  readonly latencyTargetShareLeft: number
  readonly attempts: Pick<RequestAttempts, 'left' | 'allowsRetry'>
  readonly dependencies: Pick<ForwardingDependencies, 'clock' | 'modelCascade'>
}

export class ModelChoice {
  readonly #request: ModelRequest
  readonly #run: Wait
  #plan: CascadePlan | undefined
  #model: string | undefined
  #relayedEvents = 0
  #endLargestModelWait: (hasBegun: boolean, at: number) => void = () => undefined

  constructor (request: ModelRequest) {
    this.#request = request
    this.#run = new Wait(request.dependencies.clock)
    this.#model = request.head.model
    if (request.head.acceptsAnyModel) this.#planCascade()
  }

  /** The model to ask; undefined if the caller's request names none. */
  get model (): string | undefined {
    return this.#model
  }

  /** The model for the next run: a smaller one, if a long answer of the present one would no longer be whole in time. */
  get modelInTime (): string | undefined {
    return this.#plan === undefined ? this.#model : this.#largestInTime(this.#model)
  }

  /** The model to ask instead of the present one, whose answer is not trusted; undefined if no larger one would be whole in time. */
  get largerInTime (): string | undefined {
    const model = this.#largestInTime(this.larger)
    return model === this.#model ? undefined : model
  }

  /** The model to ask if the first one's confidence is too low; undefined without a cascade. */
  get larger (): string | undefined {
    return this.#plan?.larger
  }

  recordRunStart (model: string | undefined): void {
    const { dependencies, route } = this.#request
    this.#model = model
    this.#run.restart()
    const isLargest = this.#model !== undefined && this.#model === route.modelSizes.at(-1)
    if (isLargest) this.#endLargestModelWait = dependencies.modelCascade.trackLargestModelWait(this.#heardTime, route.latencyTargetMilliseconds)
  }

  /** Records that a response began, whether or not it is released; also that one was given up before it began. */
  recordWaitEnd (): void {
    const { dependencies, route, now } = this.#request
    if (this.#plan !== undefined) dependencies.modelCascade.answerTimes.recordWait(route.name, this.#model ?? '', this.#run.heardMilliseconds, now)
  }

  recordFirstEvents (count: number): void {
    this.#relayedEvents += count
    this.#endLargestModelWait(true, this.#heardTime)
  }

  /** Records further events of a run and for how long they were waited for and could be heard; none, if the run fell silent. */
  recordEvents (count: number, milliseconds: number): void {
    const { dependencies, route, now } = this.#request
    this.#relayedEvents += count
    if (this.#plan !== undefined) dependencies.modelCascade.answerTimes.recordEvents(route.name, this.#model ?? '', count, milliseconds, now)
  }

  recordRunEnd (): void {
    this.#endLargestModelWait(false, this.#heardTime)
  }

  /** Records the length of the answer when nothing more is relayed. The whole length of one that its caller resumed is unknown. */
  recordAnswerEnd (isWhole: boolean): void {
    const { dependencies, route, head } = this.#request
    if (this.#plan === undefined || head.lastEventId !== undefined) return
    dependencies.modelCascade.answerTimes.recordLength(route.name, this.#relayedEvents, head.maximumOutputTokens, isWhole)
  }

  /** Whether the model's own confidence in its response is high enough to release it. */
  isTrusted (confidence: number | undefined, hasResponseStarted: boolean): boolean {
    const { larger } = this
    if (larger === undefined || this.#model === larger || hasResponseStarted) return true
    const { attempts, dependencies, route } = this.#request
    if (attempts.left < Math.min(attemptsOfCascade, route.maximumAttempts) || !attempts.allowsRetry) return true
    return dependencies.modelCascade.accepts(confidence, this.#heardTime, this.#timeShareOf(larger, this.#run.heardMilliseconds))
  }

  /** Asks the smaller model again if no endpoint takes the request for the larger one. */
  recordRefusal (): void {
    if (this.#plan !== undefined && this.#model === this.larger && this.#relayedEvents === 0) this.#model = this.#plan.first
  }

  /** The clock without the time for which the event loop was held up, which makes no model late. */
  get #heardTime (): number {
    const { clock } = this.#request.dependencies
    return clock.now() - clock.heldUpMilliseconds()
  }

  /** The largest model, up to one, whose answer would be whole in time. */
  #largestInTime (largest: string | undefined): string | undefined {
    const { dependencies, route } = this.#request
    const sizes = route.modelSizes.slice(0, route.modelSizes.indexOf(largest ?? '') + 1)
    return dependencies.modelCascade.largestInTime(sizes, size => this.#timeShareOf(size))
  }

  #planCascade (): void {
    const { attempts, latencyTargetShareLeft, dependencies, head, route } = this.#request
    const mayRetry = route.isResumable && head.lastEventId === undefined && attempts.allowsRetry
    this.#plan = dependencies.modelCascade.plan(route.modelSizes, { attemptsLeft: attempts.left, latencyTargetShareLeft, mayRetry, timeShareOf: model => this.#timeShareOf(model) })
    this.#model = this.#plan.first
  }

  /** Share of the time left that a long answer of a model is expected to take; may be above 1. */
  #timeShareOf (model: string, leastWaitMilliseconds = 0): number {
    const { deadline, dependencies, head, route, now } = this.#request
    const { latencyTargetMilliseconds } = route
    const answer = { route: route.name, model, latencyTargetMilliseconds, maximumOutputTokens: head.maximumOutputTokens, relayedEvents: this.#relayedEvents, leastWaitMilliseconds }
    return dependencies.modelCascade.answerTimes.expectedMilliseconds(answer, now) / Math.max(1, deadline - now)
  }
}
