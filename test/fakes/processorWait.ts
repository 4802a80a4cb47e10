/** Tells for how long processes were ready to run while the machine gave them no processor, so that a test can leave that time out. */
import { existsSync, readFileSync } from 'node:fs'

const nanosecondsPerMillisecond = 1_000_000

/** Such milliseconds of a process's main thread so far; 0 once it has ended. */
export function processorWaitMilliseconds (processId: number | undefined): number {
  const path = `/proc/${processId}/schedstat`
  const [, waitNanoseconds] = existsSync(path) ? readFileSync(path, 'utf8').split(' ') : []
  return Number(waitNanoseconds ?? 0) / nanosecondsPerMillisecond
}
