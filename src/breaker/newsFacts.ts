/**
 * Lets two gateways find out what one of them lacks without telling it all: each fact of the news has a short
 * hash. Two facts of one hash hide each other from a gateway that has only one of them; the broadcast that
 * told it first does not depend on that.
 */
import { createHash } from 'node:crypto'
import { type CrashReport, type PartAnswer, type PartBlock, partKey } from './contract.ts'
import type { BreakerNews } from './freshNews.ts'

const hashBytes = 4

/** The hashes of all facts, in ascending order. */
export function factHashes ({ reports, blocks, answers }: BreakerNews): readonly number[] {
  const hashes = [...reports.map(hashOfReport), ...blocks.map(hashOfBlock), ...answers.map(hashOfAnswer)]
  return hashes.sort((left, right) => left - right)
}

/**
 * The facts that a gateway lacks.
 *
 * @param known the hashes of what it has
 * @example
 * const update = newsBeyond(breaker.news(now), new Set(reply.known))
 */
export function newsBeyond ({ reports, blocks, answers }: BreakerNews, known: ReadonlySet<number>): BreakerNews {
  return {
    reports: reports.filter(report => !known.has(hashOfReport(report))),
    blocks: blocks.filter(block => !known.has(hashOfBlock(block))),
    answers: answers.filter(answer => !known.has(hashOfAnswer(answer)))
  }
}

/**
 * A digest of facts; equal at gateways that know the same.
 *
 * @example
 * const summary = summaryOf(factHashes(breaker.news(now)))
 */
export function summaryOf (hashes: readonly number[]): number {
  return hashOf(hashes.join(' '))
}

function hashOfReport ({ instance, reporter }: CrashReport): number {
  return hashOf(`report ${instance} ${reporter}`)
}

function hashOfBlock (block: PartBlock): number {
  return hashOf(`block ${partKey(block)} ${block.holder} ${block.trips}`)
}

function hashOfAnswer (answer: PartAnswer): number {
  return hashOf(`answer ${partKey(answer)}`)
}

function hashOf (text: string): number {
  return createHash('sha1').update(text).digest().readUIntBE(0, hashBytes)
}
