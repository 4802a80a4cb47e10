/** The faults that a soak causes, by where it causes them. The names stand in fault records, so that checks can tell what they excuse. */

/** Done to the process of a gateway. */
export const GatewayFault = {
  /** SIGTERM, then a start at the same address. */
  Restart: 'restart',
  /** SIGTERM, then a start at another address. */
  Move: 'move',
  /** SIGKILL, then a start at the same address. */
  Kill: 'kill',
  /** SIGSTOP, then SIGCONT. */
  Freeze: 'freeze',
  /** SIGHUP. */
  Reload: 'reload'
} as const
export type GatewayFault = typeof GatewayFault[keyof typeof GatewayFault]

/** Done by an endpoint to the requests that reach it while the fault lasts. */
export const EndpointFault = {
  /** Closes the connection in the middle of an answer. */
  BreakOff: 'break_off',
  /** Accepts requests, and sends nothing until the fault is over. */
  FallSilent: 'fall_silent',
  /** Answers before it has read the body. */
  AnswerEarly: 'answer_early',
  /** Resets the connection as soon as a request has come. */
  ResetRequest: 'reset_request',
  /** Answers a part of the requests with 500. */
  Fail: 'fail'
} as const
export type EndpointFault = typeof EndpointFault[keyof typeof EndpointFault]

/** Done to the process of an endpoint. */
export const EndpointProcessFault = {
  /** Leaves as planned: it reports that it drains, and ends later. */
  Leave: 'leave',
  /** SIGKILL, then a start under another identity. */
  Crash: 'crash',
  Freeze: 'freeze_endpoint'
} as const
export type EndpointProcessFault = typeof EndpointProcessFault[keyof typeof EndpointProcessFault]

/** Done to the connections through a proxy. */
export const LinkFault = {
  /** Bytes arrive later, both ways. */
  Delay: 'delay',
  /** Open connections are reset, once. */
  Reset: 'reset_connections',
  /** What is sent towards the server waits until the fault is over. */
  CutTowardsServer: 'cut_towards_server',
  /** What is sent towards the client waits until the fault is over. */
  CutTowardsClient: 'cut_towards_client',
  /** Open connections carry nothing more, ever, and stay open. */
  Silence: 'silence',
  /** Bytes arrive in small pieces. */
  Pieces: 'pieces'
} as const
export type LinkFault = typeof LinkFault[keyof typeof LinkFault]

/** Done by the operator. */
export const OperatorFault = {
  /** A new configuration; its route or key is drawn when it is made. */
  Configure: 'configure',
  /** A roll-out of endpoints of a sound version. */
  RollOutGood: 'roll_out_good',
  /** A roll-out of endpoints that fail. */
  RollOutBad: 'roll_out_bad'
} as const
export type OperatorFault = typeof OperatorFault[keyof typeof OperatorFault]

/** Done to the store and the machine. */
export const PlatformFault = {
  StoreBusy: 'store_busy',
  StoreSilent: 'store_silent',
  /** Writes are made, and their connections closed without an answer. */
  StoreLosesAnswers: 'store_loses_answers',
  StoreLosesHistory: 'store_loses_history',
  /** Other processes keep processors busy. */
  Load: 'load'
} as const
export type PlatformFault = typeof PlatformFault[keyof typeof PlatformFault]

export type Fault = GatewayFault | EndpointFault | EndpointProcessFault | LinkFault | OperatorFault | PlatformFault
