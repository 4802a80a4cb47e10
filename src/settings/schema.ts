/**
 * Schema of the operators' settings: one subtree for each team, each a TOML document. A subtree may
 * contain any section, but a name may be defined in one subtree only. Schemas are strict, so that a
 * mistyped key is an error and not a setting that is silently ignored.
 */
import * as z from 'zod'
import { VersionState } from '../contract/index.ts'

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'a name of lower-case letters, digits, dots, dashes and underscores')
const versionNameSchema = z.string().regex(/^[a-z0-9][a-z0-9._-]*@[a-z0-9][a-z0-9._-]*$/, 'model@version')
const addressSchema = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i, 'IP:port')

/** The state of a roll-out. */
export const RollOutState = {
  Running: 'running',
  /** Stopped by its guard or an operator: new sessions use the old version. */
  Halted: 'halted',
  Done: 'done'
} as const
export type RollOutState = typeof RollOutState[keyof typeof RollOutState]

const rollOutSchema = z.strictObject({
  from: nameSchema,
  to: nameSchema,
  /** The share of new sessions that use the new version. */
  share: z.number().min(0).max(1),
  state: z.enum(Object.values(RollOutState)).default(RollOutState.Running),
  steps: z.array(z.number().gt(0).max(1)).min(1).default([0.01, 0.05, 0.25, 1])
})

const versionSchema = z.strictObject({
  state: z.enum(Object.values(VersionState)).default(VersionState.Serving)
})

const modelSchema = z.strictObject({
  /** Cost units per generated token. */
  price: z.number().positive(),
  versions: z.record(nameSchema, versionSchema),
  roll_out: rollOutSchema.optional()
})

const organisationSchema = z.strictObject({
  /** SHA-256 of each API key, in hexadecimal. */
  key_hashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'the SHA-256 of a key, 64 hexadecimal digits')).min(1),
  /** Allowed models, or single versions as model@version. */
  models: z.array(z.union([nameSchema, versionNameSchema])).default([]),
  services: z.array(nameSchema).default([]),
  share: z.number().positive().default(1),
  quality_target: z.number().min(0).max(1).default(0.92)
})

const operationSchema = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path below the root of the service; a segment in braces matches any single segment. */
  path: z.string().startsWith('/'),
  idempotent: z.boolean()
})

const serviceSchema = z.strictObject({
  operations: z.array(operationSchema).default([])
})

const endpointSchema = z.strictObject({
  address: addressSchema,
  data_centre: nameSchema,
  versions: z.array(versionNameSchema).optional(),
  service: nameSchema.optional(),
  checks_fencing: z.boolean().default(true)
})

const dataCentreSchema = z.strictObject({
  region: nameSchema
})

const sessionKeySchema = z.strictObject({
  name: nameSchema,
  secret: z.string().min(32)
})

/** One team's subtree. */
export const subtreeSchema = z.strictObject({
  data_centres: z.record(nameSchema, dataCentreSchema).default({}),
  endpoints: z.record(nameSchema, endpointSchema).default({}),
  models: z.record(nameSchema, modelSchema).default({}),
  services: z.record(nameSchema, serviceSchema).default({}),
  organisations: z.record(nameSchema, organisationSchema).default({}),
  /** Kinds of request that ratings and metrics distinguish; all others count as `other`. */
  kinds: z.array(nameSchema).default([]),
  /** The first key signs new session tokens; the second is still accepted for verification. */
  session_keys: z.array(sessionKeySchema).max(2).default([])
})

/** One team's validated subtree. */
export type Subtree = z.infer<typeof subtreeSchema>
export type OrganisationSettings = z.infer<typeof organisationSchema>
export type ModelSettings = z.infer<typeof modelSchema>
export type RollOutSettings = z.infer<typeof rollOutSchema>
export type ServiceSettings = z.infer<typeof serviceSchema>
export type OperationSettings = z.infer<typeof operationSchema>
export type EndpointSettings = z.infer<typeof endpointSchema>
export type SessionKeySettings = z.infer<typeof sessionKeySchema>
