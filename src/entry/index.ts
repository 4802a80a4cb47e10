/** The way of a request through a daemon, from the caller's connection to the endpoint and back. */
export { ChatRouter, type ChatCall, type ChatParts, SessionWish } from './chatRouter.ts'
export { type AnswerEvent } from './answer.ts'
export { ServiceRouter, type ServiceRequest, type ServiceParts } from './serviceRouter.ts'
export { EndpointDirectory } from './endpointDirectory.ts'
export { Drain } from './drain.ts'
export { CallerServer, type CallerServerOptions } from './callerServer.ts'
export { OperatorServer, type OperatorServerOptions } from './operatorServer.ts'
export { RollOutWatch } from './rollOutWatch.ts'
