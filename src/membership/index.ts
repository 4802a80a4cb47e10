/** Membership: daemons and endpoints, their health, leaving marks and load. */
export * from './contract.ts'
export { GossipMembership, type GossipMembershipOptions } from './gossipMembership.ts'
export { type EndpointReporter } from './endpointPoller.ts'
export { type EndpointRecord, joinEndpoints } from './endpointRecord.ts'
export { type MemberRecord, MemberStatus, joinMembers } from './memberRecord.ts'
export { branchesOf, type Branch } from './newsTree.ts'
