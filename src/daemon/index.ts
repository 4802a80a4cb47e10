/** A daemon: its parts put together, started and stopped in order. */
export { Daemon, type DaemonStatus } from './daemon.ts'
export { composeParts, type DaemonParts, type PartOverrides } from './composition.ts'
export { readTlsFiles, type TlsTexts } from './tlsFiles.ts'
