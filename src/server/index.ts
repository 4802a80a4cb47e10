/** Helpers shared by the HTTP servers: listening on an IP address, limits on sizes and times, and ending responses. */
export type { CallerConnection } from './callerConnection.ts'
export { CallerListener, type RequestListener } from './callerListener.ts'
export { endAfterRequest } from './endAfterRequest.ts'
export { HeadTimeLimits } from './headTimeLimits.ts'
export { untilInputIsRead } from './inputPoll.ts'
export { listenOn } from './listenOn.ts'
export { TrackedConnections } from './trackedConnections.ts'
export { readBoundedBody } from './boundedBody.ts'
