/** The gateways that may be running, for what is divided among them. */
export { FleetDirectory, membersDigest, type FleetDirectoryOptions } from './fleetDirectory.ts'
export { FleetReports, type FleetReportsOptions } from './fleetReports.ts'
export { FleetShare, type FleetShareOptions } from './fleetShare.ts'
