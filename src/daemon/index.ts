/** Composition, start and shutdown of a daemon. */
export { Daemon, type DaemonStatus } from './daemon.ts'
export { composeDaemonDependencies, type DaemonDependencies, type DependencyOverrides } from './composition.ts'
export { readTlsFiles, type TlsCredentials } from './tlsFiles.ts'
