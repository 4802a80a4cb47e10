/** Helpers shared by the HTTP servers: listening on an IP address and reading bodies with limits. */
export { CallerListener, type RequestListener } from './callerListener.ts'
export { untilInputIsRead } from './inputPoll.ts'
export { listenOn } from './listenOn.ts'
export { readBoundedBody } from './boundedBody.ts'
