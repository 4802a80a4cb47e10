/** Writes roll-out rows to the platform's store. */
import { type RowStore, RowWriteOutcome, Table, encodeEvidence, encodeHandOver, encodePins, encodeStatus, evidenceKey, handOverKey, pinsKey, statusKey } from '../../platform/index.ts'
import type { RollOutStore, RollOutWrite } from '../gateway/index.ts'
import type { ReplicaFollower } from '../replica/index.ts'
import type { RollOutEvidence, RollOutPins, RollOutStatus, SessionHandOver } from '../routing/index.ts'

/** Stores roll-out rows in the store's status table. */
export class RowRollOutStore implements RollOutStore {
  readonly #rows: RowStore
  readonly #follower: ReplicaFollower

  constructor (rows: RowStore, follower: ReplicaFollower) {
    this.#rows = rows
    this.#follower = follower
  }

  get storeTime (): number | undefined {
    return this.#follower.storeTime
  }

  get epoch (): number {
    return this.#follower.replica(Table.Status).epoch
  }

  async writeStatus (status: RollOutStatus, expectedVersion: number): Promise<RollOutWrite> {
    const outcome = await this.#rows.write(Table.Status, statusKey(status.service), expectedVersion, encodeStatus(status))
    return { outcome, isWritten: outcome === RowWriteOutcome.Written }
  }

  async writeEvidence (evidence: RollOutEvidence): Promise<string> {
    return await this.#rows.put(Table.Status, evidenceKey(evidence.service, evidence.observer), encodeEvidence(evidence))
  }

  async writePins (pins: RollOutPins): Promise<boolean> {
    const outcome = await this.#rows.put(Table.Status, pinsKey(pins.service, pins.observer), encodePins(pins))
    return outcome === RowWriteOutcome.Written
  }

  async writeHandOver (handOver: SessionHandOver): Promise<string> {
    return await this.#rows.put(Table.Status, handOverKey(handOver.observer), encodeHandOver(handOver))
  }
}
