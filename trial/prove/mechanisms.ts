/**
 * The mechanisms that a run can disable, to show that its checks can fail. Each is disabled by a fake or
 * by a replaced part of the composition; the program itself has no such switch.
 */
import { type Claims, ClaimSteps } from '../../src/claim/index.ts'
import { Ok, type Randomness } from '../../src/contract/index.ts'
import { SettingsFollower, SettingsLease } from '../../src/distribution/index.ts'
import { Drain } from '../../src/entry/index.ts'
import { watermarkTableName } from '../../src/billing/index.ts'
import type { TableService, Transaction } from '../../src/store/index.ts'

/** Each mechanism and the behaviour without it. */
export const Mechanism = {
  claim: 'each call of a service is sent at once, regardless of stored claims',
  fencing: 'engines execute orders with a stale fencing number',
  watermark: 'bill entries are written without the condition on their watermark',
  'settings-lease': 'a daemon that is cut off treats its settings as up to date',
  'leaving-mark': 'engines do not report that they are leaving',
  'silence-detection': 'a silent connection never times out',
  resume: 'a broken stream is not resumed',
  drain: 'a planned stop does not wait for running requests'
} as const
export type Mechanism = keyof typeof Mechanism

/** Claims that always succeed and store nothing. */
export class DisabledClaims implements Claims {
  readonly steps = new ClaimSteps()
  readonly #randomness: Randomness

  constructor (randomness: Randomness) {
    this.#randomness = randomness
  }

  async open () {
    const claim = {
      nonce: this.#randomness.identifier(),
      dispatch: async () => Ok({ sendBefore: Number.MAX_SAFE_INTEGER }),
      settle: async () => Ok(undefined),
      release: async () => Ok(undefined),
      markUnknown: async () => {}
    }
    return Ok({ kind: 'mine' as const, claim })
  }

  async resolve () {
    return Ok({ kind: 'unknown' as const })
  }

  async stop () {}
}

/** A table service that ignores the conditions on watermarks. */
export class UnconditionalWatermarkTable implements TableService {
  readonly #table: TableService

  constructor (table: TableService) {
    this.#table = table
  }

  read (...args: Parameters<TableService['read']>): ReturnType<TableService['read']> {
    return this.#table.read(...args)
  }

  scan (...args: Parameters<TableService['scan']>): ReturnType<TableService['scan']> {
    return this.#table.scan(...args)
  }

  transact (transaction: Transaction): ReturnType<TableService['transact']> {
    const conditions = transaction.conditions.filter(condition => condition.table !== watermarkTableName)
    return this.#table.transact({ ...transaction, conditions })
  }
}

/** A settings follower whose lease never expires. */
export class PermanentLeaseFollower extends SettingsFollower {
  override get lease (): SettingsLease {
    return SettingsLease.Held
  }
}

/** A drain that does not wait for running requests. */
export class NonWaitingDrain extends Drain {
  override async waitUntilEmpty (): Promise<void> {}
}
