/**
 * The blocks in force. A block ends when its part is answered well somewhere, or after a time that grows
 * with each block in a row. Its holder alone may try the part again before that, one request at a time and
 * ever more rarely, so that a trial costs a fleet of any size a single endpoint.
 */
import { dropOldest } from '../contract/index.ts'
import { type OrganisationPart, type PartBlock, partKey } from './contract.ts'

const initialTrialDelayMilliseconds = 30_000
const maximumTrialDelayMilliseconds = 30 * 60_000
/** Factor between two delays. */
const trialDelayGrowth = 4
/** A block outlasts its holder's first trial by this factor, so that another gateway's loss of the holder does not end it early. */
const blockDelayRatio = 20
const maximumBlocks = 256

interface HeldBlock {
  readonly block: PartBlock
  /** When the holder may try the part again. */
  readonly trialAt: number
}

export class PartBlocks {
  readonly #held = new Map<string, HeldBlock>()

  /** All blocks in force. */
  all (now: number): readonly PartBlock[] {
    return [...this.#held.values()].filter(({ block }) => blockEnd(block) > now).map(({ block }) => block)
  }

  /** The block of a part; undefined if there is none in force. */
  of (part: OrganisationPart, now: number): PartBlock | undefined {
    const block = this.#held.get(partKey(part))?.block
    return block !== undefined && blockEnd(block) > now ? block : undefined
  }

  /**
   * Adds a block, which takes precedence over a known one if it has more trips or, at the same number, if its
   * holder's name is smaller, so that all gateways come to the same holder.
   *
   * @returns whether it is in force now
   */
  add (block: PartBlock, now: number): boolean {
    if (blockEnd(block) <= now) return false
    const key = partKey(block)
    const known = this.of(block, now)
    if (known !== undefined && !takesPrecedence(block, known)) return false
    this.#held.delete(key)
    this.#held.set(key, { block, trialAt: block.blockedAt + trialDelay(block.trips) })
    dropOldest(this.#held, maximumBlocks)
    return true
  }

  /** Ends a block. */
  remove (part: OrganisationPart): void {
    this.#held.delete(partKey(part))
  }

  /** Whether a gateway may try a blocked part again now; if so, its next trial is later. */
  tryTrial (block: PartBlock, gateway: string, now: number): boolean {
    const held = this.#held.get(partKey(block))
    if (held === undefined || held.block.holder !== gateway || now < held.trialAt) return false
    this.#held.set(partKey(block), { block: held.block, trialAt: now + trialDelay(held.block.trips + 1) })
    return true
  }
}

/** When a block ends by itself. */
export function blockEnd ({ blockedAt, trips }: PartBlock): number {
  return blockedAt + trialDelay(trips) * blockDelayRatio
}

/** Whether a run that began at a time was a trial of a blocked part, rather than sent before its gateway knew of the block. */
export function isTrial ({ blockedAt, trips }: PartBlock, begunAt: number): boolean {
  return begunAt >= blockedAt + trialDelay(trips)
}

function trialDelay (trips: number): number {
  return Math.min(maximumTrialDelayMilliseconds, initialTrialDelayMilliseconds * trialDelayGrowth ** (trips - 1))
}

function takesPrecedence (block: PartBlock, known: PartBlock): boolean {
  return block.trips === known.trips ? block.holder < known.holder : block.trips > known.trips
}
