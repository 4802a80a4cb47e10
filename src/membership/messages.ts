/** Messages between daemons about members and endpoints. */
import * as z from 'zod'
import type { MessageType, Peer } from '../link/index.ts'
import { type EndpointRow, endpointRowSchema } from './endpointRow.ts'
import { type MemberRow, memberRowSchema } from './memberRecord.ts'

/** Member updates that are piggybacked on a message. */
export interface MemberUpdates {
  readonly members: readonly MemberRow[]
}

const memberUpdatesSchema: z.ZodType<MemberUpdates> = z.strictObject({ members: z.array(memberRowSchema) })

/** Checks whether a daemon is reachable. */
export const probe: MessageType<MemberUpdates, MemberUpdates> = {
  name: 'membership.probe',
  body: memberUpdatesSchema,
  reply: memberUpdatesSchema
}

/** Asks a daemon to probe another one that is unreachable from here. */
export const indirectProbe: MessageType<Peer, { readonly reached: boolean }> = {
  name: 'membership.indirect_probe',
  body: z.strictObject({ name: z.string(), address: z.string() }),
  reply: z.strictObject({ reached: z.boolean() })
}

/** An endpoint's row, and how many ring members after the receiver it is to be forwarded to. */
export type EndpointUpdate = readonly [span: number, row: EndpointRow]

/** Delivers endpoint records. */
export const endpointUpdates: MessageType<{ readonly items: readonly EndpointUpdate[] }, Record<string, never>> = {
  name: 'membership.endpoint_news',
  body: z.strictObject({ items: z.array(z.tuple([z.number().int().min(0), endpointRowSchema])) }),
  reply: z.strictObject({})
}

/** What a daemon knows of its data centre, and of the others too if the requester is in the same one. */
export interface Digest {
  readonly members: readonly MemberRow[]
  readonly endpoints: readonly EndpointRow[]
}

/** Requests a digest: of everything, or only of what is leaving or failing. */
export const digestRequest: MessageType<{ readonly whole: boolean }, Digest> = {
  name: 'membership.digest',
  body: z.strictObject({ whole: z.boolean() }),
  reply: z.strictObject({ members: z.array(memberRowSchema), endpoints: z.array(endpointRowSchema) })
}
