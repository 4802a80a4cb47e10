/** Tables of the platform's store as every daemon holds them: followed by their feeds, asked of peers while the store is out. */
export { type FeedRow, type TableSnapshot, type TableChanges, type TableFeed, FeedFailure } from './contract.ts'
export { TableReplica, type ReplicaChanges } from './tableReplica.ts'
export { ReplicaFollower, type ReplicaFollowerOptions, defaultFeedWaitMilliseconds } from './replicaFollower.ts'
export { ReplicaRelay, type ReplicaRelayOptions } from './replicaRelay.ts'
export { RelayFollower, type RelayFollowerOptions } from './relayFollower.ts'
export { PeerReplicaExchange, type PeerReplicaExchangeOptions } from './peerReplicaExchange.ts'
