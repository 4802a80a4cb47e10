/** Tables of the platform's store as every daemon holds them: followed by their feeds, asked of peers while the store is out. */
export { type FeedRow, type TableSnapshot, type TableChanges, type TableFeed, FeedFailure } from './contract.ts'
export { TableReplica } from './tableReplica.ts'
export { ReplicaFollower, type ReplicaFollowerOptions } from './replicaFollower.ts'
export { PeerReplicas, type PeerReplicasOptions } from './peerReplicas.ts'
