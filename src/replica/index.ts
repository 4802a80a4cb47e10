/** Replicas of the store's tables at every daemon: followed through feeds, or fetched from peers while the store is unavailable. */
export { type FeedRow, type TablePosition, type TableSnapshot, type TableChanges, type TableFeed, FeedFailure } from './contract.ts'
export { TableReplica, type PositionedRows, type ReplicaChanges, comparePositions } from './tableReplica.ts'
export { ReplicaFollower, type ReplicaFollowerOptions, defaultFeedWaitMilliseconds } from './replicaFollower.ts'
export { ReplicaRelay, type ReplicaRelayOptions } from './replicaRelay.ts'
export { RelayFollower, type RelayFollowerOptions } from './relayFollower.ts'
export { PeerReplicaExchange, type PeerReplicaExchangeOptions } from './peerReplicaExchange.ts'
export { type EncodedRow, RowFault, decodeRows, encodeRows } from './rowCompression.ts'
export { acceptsDeflated, encodePositions } from './relayMessages.ts'
