/** What endpoints and callers of a soak record: one JSON line each, on the standard output of their processes. */

/** How a run at an endpoint ended. */
export const RunEnd = {
  /** Its whole answer was written. */
  Answered: 'answered',
  /** Rejected before it ran: the answer promises so. */
  NotRun: 'not_run',
  /** The gateway closed the connection before the answer was whole. */
  Abandoned: 'abandoned',
  /** A fault of the endpoint, ordered by the soak, broke the answer off. */
  Faulty: 'faulty'
} as const
export type RunEnd = typeof RunEnd[keyof typeof RunEnd]

/** One run of a request at an endpoint. Times are milliseconds since the Unix epoch, as all processes of a soak share a machine. */
export interface RunRecord {
  readonly type: 'run'
  readonly request: string
  readonly endpoint: string
  readonly path: string
  readonly startedAt: number
  readonly endedAt: number
  readonly end: RunEnd
  /** Version of the configuration whose effect the run shows; undefined if none does. */
  readonly settingsVersion?: number | undefined
  /** The event after which a stream was resumed. */
  readonly resumedAfter?: string | undefined
  readonly service?: string
  /** Version of the endpoint's software, which a roll-out changes. */
  readonly softwareVersion?: string
  /** Of the answer; undefined if its head was not sent. */
  readonly status?: number | undefined
}

/** The start of a run, so that runs at an endpoint that is killed are known; `SoakWorld` makes a faulty RunRecord of each that it does not end. */
export interface RunStartRecord {
  readonly type: 'run_started'
  readonly request: string
  readonly endpoint: string
  readonly service: string
  readonly path: string
  readonly startedAt: number
}

/** How a request ended for its caller. */
export const CallerEnd = {
  /** A whole answer with a status. */
  Answered: 'answered',
  /** Its connection ended in order before a whole answer. */
  Closed: 'closed',
  /** Its connection was reset before a whole answer. */
  Reset: 'reset',
  /** Nothing whole came within the time that the soak allows. */
  Unanswered: 'unanswered',
  /** The caller left on purpose. */
  Left: 'left'
} as const
export type CallerEnd = typeof CallerEnd[keyof typeof CallerEnd]

/** One request as its caller saw it. */
export interface RequestRecord {
  readonly type: 'request'
  readonly request: string
  readonly gateway: string
  /** Number of the connection within the caller, and of the request on it. */
  readonly connection: number
  readonly position: number
  readonly path: string
  readonly sentAt: number
  readonly wholeAt: number | undefined
  readonly endedAt: number
  readonly deadlineAt: number
  readonly end: CallerEnd
  readonly status: number | undefined
  /** Identity in the answer; that of another request is a finding. */
  readonly answeredRequest: string | undefined
  /** The endpoint named by the seal of the answer. */
  readonly answeredBy: string | undefined
  /** Ids of a stream's events in order, and whether its last one came. */
  readonly events: readonly string[]
  /** What the caller did besides sending: `half_close`, `reset`, `read_late`, `slow_body`. */
  readonly habit: string | undefined
  /** The event after which the caller asked for a stream to go on. */
  readonly resumedAfter?: string | undefined
  /** When a caller that reads late began to read. */
  readonly readFrom?: number | undefined
  /** Whether the answer announced the end of its connection. */
  readonly announcesClose?: boolean | undefined
  /** API key that it was sent with. */
  readonly key?: string | undefined
}

/** Stands for the request of an answer on a connection that had none waiting. */
export const unaskedRequest = 'unasked'

/** What the soak did to a process, and when. */
export interface FaultRecord {
  readonly type: 'fault'
  readonly at: number
  readonly until: number
  /** A gateway, an endpoint, a service, `store`, `machine`, or a link: `callers/GATEWAY`, `store/GATEWAY`, `endpoint/ENDPOINT`. */
  readonly target: string
  /** One of faults.ts. */
  readonly fault: string
  /** How a roll-out ended. */
  readonly outcome?: string | undefined
}

/** A planned stop of a gateway, and whether it ended within its grace. */
export interface StopRecord {
  readonly type: 'stop'
  readonly gateway: string
  readonly startedAt: number
  readonly endedAt: number
  readonly isInTime: boolean
}

/** Something that the soak could not do, such as a gateway that did not get ready after its start. */
export interface FailureRecord {
  readonly type: 'failure'
  readonly at: number
  readonly target: string
  readonly fault: string
  readonly reason: string
}

/** A route as a configuration has it. */
export interface RouteRecord {
  readonly prefix: string
  readonly service: string
  readonly timeoutMilliseconds: number
}

/** A configuration that the store has acknowledged. */
export interface ConfigurationRecord {
  readonly type: 'configuration'
  readonly version: number
  /** When it was sent to the store, and when the store had acknowledged it. */
  readonly sentAt: number
  readonly acknowledgedAt: number
  readonly routes: readonly RouteRecord[]
  readonly keys: readonly string[]
}

/** A process that ended although nobody ended it, or with a failure although it was asked to stop. */
export interface EndRecord {
  readonly type: 'end'
  readonly process: string
  readonly at: number
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** The memory that a gateway took at a moment. */
export interface MemoryRecord {
  readonly type: 'memory'
  readonly gateway: string
  readonly at: number
  readonly bytes: number
}

/** For how long a process had been ready to run without a processor, from its start to a moment. */
export interface ProcessorWaitRecord {
  readonly type: 'processor_wait'
  /** A gateway, `proxies`, or the name that begins the ids of a caller process. */
  readonly process: string
  readonly at: number
  readonly milliseconds: number
}

export type SoakRecord = RunRecord | RunStartRecord | RequestRecord | FaultRecord | ConfigurationRecord | EndRecord | StopRecord | FailureRecord | MemoryRecord | ProcessorWaitRecord
