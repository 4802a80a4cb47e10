/**
 * Random numbers and hashing. Random decisions take a `Randomness`, so that a run can be repeated
 * from its seed. Decisions on which daemons must agree without communicating use `hashFraction`,
 * which gives the same value in every process.
 */
import { createHash, randomBytes } from 'node:crypto'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A random number generator. */
export interface Randomness {
  /** A number from 0 (inclusive) to 1 (exclusive). */
  fraction (): number
  /** An integer from 0 (inclusive) to `bound` (exclusive). */
  integerBelow (bound: number): number
  /** A sample of the standard normal distribution. */
  standardNormal (): number
  /** An identifier of 128 random bits, in hexadecimal. */
  identifier (): string
}

abstract class BaseRandomness implements Randomness {
  abstract fraction (): number

  integerBelow (bound: number): number {
    return Math.floor(this.fraction() * bound)
  }

  standardNormal (): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.fraction()))
    return radius * Math.cos(2 * Math.PI * this.fraction())
  }

  identifier (): string {
    let text = ''
    while (text.length < 32) text += this.integerBelow(0x10000).toString(16).padStart(4, '0')
    return text
  }
}

/**
 * A seeded generator, for repeatable runs.
 *
 * @example
 * const randomness = new SeededRandomness(7)
 */
export class SeededRandomness extends BaseRandomness {
  readonly #generator

  constructor (seed: number) {
    super()
    this.#generator = xoroshiro128plus(seed | 0)
  }

  fraction (): number {
    return (this.#generator.next() >>> 0) / 0x100000000
  }
}

/** Unseeded generator for production; identifiers come from the cryptographically secure source of the system. */
export class SystemRandomness extends BaseRandomness {
  fraction (): number {
    return Math.random()
  }

  override identifier (): string {
    return randomBytes(16).toString('hex')
  }
}

/**
 * Hashes a text to a fraction from 0 (inclusive) to 1 (exclusive) that is the same in every process.
 *
 * @example
 * const isFirst = hashFraction(`${session}/${rollOut}`) < share
 */
export function hashFraction (text: string): number {
  const digest = createHash('sha1').update(text).digest()
  return digest.readUIntBE(0, 6) / 2 ** 48
}

/**
 * Orders names by rendezvous hashing: adding or removing a name keeps the order of the others.
 *
 * @example
 * const [first, second] = rendezvousOrder('collector', members)
 */
export function rendezvousOrder (key: string, names: readonly string[]): string[] {
  const scored = names.map(name => ({ name, score: hashFraction(`${key}\n${name}`) }))
  scored.sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
  return scored.map(entry => entry.name)
}

/**
 * Picks distinct items at random.
 *
 * @returns at most `count` items, fewer if there are not so many
 * @example
 * for (const peer of randomSample(randomness, peers, 2)) ask(peer)
 */
export function randomSample<Item> (randomness: Randomness, items: readonly Item[], count: number): Item[] {
  const remaining = [...items]
  const picked: Item[] = []
  while (picked.length < count && remaining.length > 0) {
    picked.push(...remaining.splice(randomness.integerBelow(remaining.length), 1))
  }
  return picked
}
