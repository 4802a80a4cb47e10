/** What Node.js's HTTP parser tells of the connection that it reads. None of it is documented, so that each part may be missing. */
import type { Socket } from 'node:net'

export interface ParsedSocket extends Socket {
  readonly parser?: {
    /** How long the parser has been at the present request, in milliseconds; 0 between two requests. */
    readonly duration?: () => number
    /** What it keeps of a head that is arriving. */
    readonly _headers?: string[]
  } | null
}
