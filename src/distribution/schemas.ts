/** Schemas of the settings rows and of the settings messages between daemons. */
import * as z from 'zod'
import type { MessageType } from '../link/index.ts'
import { subtreeSchema } from '../settings/index.ts'
import type { SettingsChange, TeamSettings } from './contract.ts'

/** A team's row. */
export const teamRowSchema = z.strictObject({
  revision: z.number().int().min(1),
  subtree: subtreeSchema,
  nonce: z.string()
})
export type TeamRow = z.infer<typeof teamRowSchema>

/** The row of the global revision. */
export const revisionRowSchema = z.strictObject({
  revision: z.number().int().min(1)
})

/** One accepted change. */
export const changeSchema: z.ZodType<SettingsChange> = z.strictObject({
  revision: z.number().int().min(1),
  team: z.string(),
  author: z.string(),
  at: z.number(),
  nonce: z.string(),
  subtree: subtreeSchema
})

/** Requests everything that changed after the sender's revision. */
export interface SettingsRequest {
  /** The revision in force at the sender, which thereby confirms it. */
  readonly revision: number
}

/** The state of the daemon that replies. */
export interface SettingsReply {
  readonly revision: number
  /** Milliseconds since the start of a store read that found no later revision. */
  readonly age: number
  /** The subtrees that changed after the requester's revision. */
  readonly teams: Readonly<Record<string, TeamSettings>>
}

const revisionSchema = z.number().int().min(0)
const ageSchema = z.number().min(0)

/** Requests settings changes. */
export const settingsRequest: MessageType<SettingsRequest, SettingsReply> = {
  name: 'settings.question',
  body: z.strictObject({ revision: revisionSchema }),
  reply: z.strictObject({
    revision: revisionSchema,
    age: ageSchema,
    teams: z.record(z.string(), z.strictObject({ revision: revisionSchema, subtree: subtreeSchema }))
  })
}

/** A revision that a daemon reported to be in force. */
export interface Confirmation {
  readonly name: string
  readonly revision: number
  /** Milliseconds since the daemon reported it. */
  readonly age: number
}

/** Requests the confirmations that a daemon has received. */
export const confirmationsRequest: MessageType<Record<string, never>, { readonly confirmations: readonly Confirmation[] }> = {
  name: 'settings.confirmations',
  body: z.strictObject({}),
  reply: z.strictObject({
    confirmations: z.array(z.strictObject({ name: z.string(), revision: revisionSchema, age: ageSchema }))
  })
}
