/** Helpers shared by the HTTP servers: listening on an IP address and reading bodies with limits. */
export { listenOn } from './listenOn.ts'
export { readBoundedBody } from './boundedBody.ts'
