/** Helpers shared by the HTTP servers: listening on an IP address, reading bodies with limits and ending responses. */
export { CallerListener, type RequestListener } from './callerListener.ts'
export { endAfterRequest } from './endAfterRequest.ts'
export { untilInputIsRead } from './inputPoll.ts'
export { listenOn } from './listenOn.ts'
export { readBoundedBody } from './boundedBody.ts'
