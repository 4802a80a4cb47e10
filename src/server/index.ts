/** What HTTP servers of this project share: listening by IP number and reading bodies within a bound. */
export { listenOn } from './listenOn.ts'
export { readBoundedBody } from './boundedBody.ts'
