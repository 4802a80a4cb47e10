/** Links: typed messages between daemons over TCP. */
export * from './contract.ts'
export { TcpLink, type TcpLinkOptions, type LinkTraffic } from './tcpLink.ts'
export { type LinkCertificateFiles } from './certificates.ts'
export { protocolVersion, maximumFrameBytes } from './frames.ts'
