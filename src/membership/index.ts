/** Membership: daemons and endpoints, their health, leaving marks and load. */
export * from './contract.ts'
export { GossipMembership, type GossipMembershipOptions } from './gossipMembership.ts'
export { type LoadReportClient } from './endpointPoller.ts'
export { type EndpointRecord, mergeEndpointRecords } from './endpointRecord.ts'
export { type MemberRecord, MemberStatus, mergeMemberRecords } from './memberRecord.ts'
export { broadcastBranches, type BroadcastBranch } from './broadcastTree.ts'
