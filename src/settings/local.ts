/** The small local file of a daemon: its addresses, where it stands, and where the platform is. */
import { z } from 'zod'

const addressSchema = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i, 'IP:port')
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'a name of lower-case letters, digits, dots, dashes and underscores')

const certificateSchema = z.strictObject({
  /** Path of the PEM private key. */
  key: z.string().min(1),
  /** Path of the PEM certificate chain. */
  certificate: z.string().min(1)
})

const linkCertificateSchema = certificateSchema.extend({
  /** Path of the PEM certificates that other daemons' certificates must be signed by. */
  authority: z.string().min(1)
})

/** A daemon's local settings. */
export const localSchema = z.strictObject({
  /** The VM's name, unique among live VMs. */
  name: nameSchema,
  region: nameSchema,
  data_centre: nameSchema,
  /** The rack, so that copies go to unlike ones. */
  rack: nameSchema.default('rack'),
  listen: z.strictObject({
    /** Where callers reach this daemon. */
    callers: addressSchema,
    /** Where other daemons reach this daemon. */
    link: addressSchema,
    /** Where metrics and health are served. */
    operators: addressSchema
  }),
  platform: z.strictObject({
    table_service: addressSchema,
    object_store: addressSchema,
    virtual_machines: addressSchema,
    rating_service: addressSchema
  }),
  link: z.strictObject({
    /** Shared by all daemons; proves membership where TLS is off. */
    secret: z.string().min(16),
    tls: linkCertificateSchema.optional()
  }),
  callers: z.strictObject({
    tls: certificateSchema.optional(),
    body_bytes: z.number().int().min(1024).default(1_048_576),
    request_seconds: z.number().positive().max(3600).default(120)
  }).prefault({}),
  limits: z.strictObject({
    /** Bytes a second that this daemon may put on the link between regions. */
    regional_link_bytes_per_second: z.number().positive().default(300_000)
  }).prefault({}),
  telemetry: z.strictObject({
    level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
    /** URL of an OTLP trace receiver; absent: no spans are made. */
    traces: z.url().optional()
  }).prefault({}),
  /** Seconds a planned stop waits for running requests. */
  drain_seconds: z.number().positive().default(150)
})

/** A daemon's local settings, checked. */
export type LocalSettings = z.infer<typeof localSchema>
