/** Schema of a daemon's local settings file: its addresses, its location and the addresses of the platform. */
import * as z from 'zod'

const addressSchema = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i, 'IP:port')
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'a name of lower-case letters, digits, dots, dashes and underscores')

const certificateSchema = z.strictObject({
  /** Path of the PEM private key. */
  key: z.string().min(1),
  /** Path of the PEM certificate chain. */
  certificate: z.string().min(1)
})

const linkCertificateSchema = certificateSchema.extend({
  /** Path of the PEM certificates of the authorities that must have signed the certificates of other daemons. */
  authority: z.string().min(1)
})

export const localSchema = z.strictObject({
  /** Name of the VM, unique among live VMs. */
  name: nameSchema,
  region: nameSchema,
  data_centre: nameSchema,
  /** Rack of the VM; copies are placed in different racks. */
  rack: nameSchema.default('rack'),
  listen: z.strictObject({
    /** Address on which callers are served. */
    callers: addressSchema,
    /** Address on which other daemons connect. */
    link: addressSchema,
    /** Address on which metrics, status and health checks are served. */
    operators: addressSchema
  }),
  platform: z.strictObject({
    table_service: addressSchema,
    object_store: addressSchema,
    virtual_machines: addressSchema,
    rating_service: addressSchema
  }),
  link: z.strictObject({
    /** Shared by all daemons; authenticates peers if TLS is off. */
    secret: z.string().min(16),
    tls: linkCertificateSchema.optional()
  }),
  callers: z.strictObject({
    tls: certificateSchema.optional(),
    body_bytes: z.number().int().min(1024).default(1_048_576),
    request_seconds: z.number().positive().max(3600).default(120)
  }).prefault({}),
  limits: z.strictObject({
    /** Bytes per second that this daemon may send over the link between regions. */
    regional_link_bytes_per_second: z.number().positive().default(300_000)
  }).prefault({}),
  telemetry: z.strictObject({
    level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
    /** URL of an OTLP trace receiver; if absent, tracing is off. */
    traces: z.url().optional()
  }).prefault({}),
  /** Seconds for which a planned stop waits for running requests. */
  drain_seconds: z.number().positive().default(150)
})

/** Validated local settings of a daemon. */
export type LocalSettings = z.infer<typeof localSchema>
