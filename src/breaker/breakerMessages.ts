/** Crashes, blocks and good answers as gateways tell each other of them. Times travel as ages, since clocks differ. */
import * as z from 'zod'
import type { BreakerNews } from './freshNews.ts'

const partSchema = z.object({ organisation: z.string(), part: z.string() })
const runSchema = z.object({
  organisation: z.string(),
  parts: z.array(z.string()),
  /** From the run's begin to the crash. */
  milliseconds: z.number()
})
/** Organisation, request, the milliseconds from its sending to the crash, and the parts of a prompt that waited. There may be many, so they go without names. */
const requestSchema = z.tuple([z.string(), z.string(), z.number()]).rest(z.string())
const reportSchema = z.object({
  instance: z.string(),
  reporter: z.string(),
  ageMilliseconds: z.number(),
  runs: z.array(runSchema),
  /** Absent in reports of earlier builds. */
  requests: z.array(requestSchema).optional(),
  recurrence: z.number().optional()
})
export const breakerNewsSchema = z.object({
  reports: z.array(reportSchema),
  blocks: z.array(partSchema.extend({ holder: z.string(), trips: z.number().int().positive(), ageMilliseconds: z.number() })),
  answers: z.array(partSchema.extend({ ageMilliseconds: z.number() }))
})

export type EncodedBreakerNews = z.infer<typeof breakerNewsSchema>

/** Encodes news with their ages. */
export function encodeBreakerNews ({ reports, blocks, answers }: BreakerNews, now: number): EncodedBreakerNews {
  return {
    reports: reports.map(({ instance, reporter, crashedAt, runs, requests, recurrence }) => ({
      instance,
      reporter,
      ageMilliseconds: now - crashedAt,
      runs: runs.map(({ prompt, begunAt }) => ({ organisation: prompt.organisation, parts: [...prompt.parts], milliseconds: crashedAt - begunAt })),
      requests: requests?.map(({ organisation, request, sentAt, parts = [] }) => [organisation, request, Math.round(crashedAt - sentAt), ...parts]),
      recurrence
    })),
    blocks: blocks.map(({ blockedAt, ...block }) => ({ ...block, ageMilliseconds: now - blockedAt })),
    answers: answers.map(({ answeredAt, ...answer }) => ({ ...answer, ageMilliseconds: now - answeredAt }))
  }
}

/** Decodes news that have just arrived. */
export function decodeBreakerNews ({ reports, blocks, answers }: EncodedBreakerNews, now: number): BreakerNews {
  return {
    reports: reports.map(({ instance, reporter, ageMilliseconds, runs, requests, recurrence }) => {
      const crashedAt = now - ageMilliseconds
      return {
        instance,
        reporter,
        crashedAt,
        runs: runs.map(({ organisation, parts, milliseconds }) => ({ prompt: { organisation, parts }, begunAt: crashedAt - milliseconds })),
        requests: requests?.map(([organisation, request, milliseconds, ...parts]) => ({ organisation, request, sentAt: crashedAt - milliseconds, parts })),
        recurrence
      }
    }),
    blocks: blocks.map(({ ageMilliseconds, ...block }) => ({ ...block, blockedAt: now - ageMilliseconds })),
    answers: answers.map(({ ageMilliseconds, ...answer }) => ({ ...answer, answeredAt: now - ageMilliseconds }))
  }
}
