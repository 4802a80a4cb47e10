/**
 * Stores the operators' settings in the table service. A change is one transaction over three rows: the
 * team's subtree, the single global revision, and the change itself, keyed by its revision. It is applied
 * only if the team's row and the global row are unchanged since they were read. Therefore revisions have
 * no gaps, exactly one of two concurrent writers succeeds, and the state that was validated across all
 * teams is the state that takes effect. Each write carries a nonce that identifies it after a lost reply.
 */
import { type Clock, Err, Ok, type Randomness, type Result } from '../contract/index.ts'
import { TransactionOutcome, type PlatformUnavailable, type Row, type TableService, type Transaction } from '../store/index.ts'
import { checkDocument, SettingsView, type Subtree, subtreeSchema } from '../settings/index.ts'
import { type SettingsChange, SettingsConflict, type SettingsRejection, type SettingsRepository, type SettingsSnapshot, type TeamSettings } from './contract.ts'
import { changeSchema, revisionRowSchema, teamRowSchema, type TeamRow } from './schemas.ts'

const teamTable = 'settings'
const revisionTable = 'settings_revision'
const historyTable = 'settings_history'
const revisionKey = 'global'
const revisionDigits = 12
/** How often a change is retried after a conflict with another team's change. */
const maximumAttempts = 50
/** Milliseconds between attempts to determine the outcome of a write; with `maximumAttempts` it bounds the wait to 5 s. */
const outcomeRetryMilliseconds = 100

export interface TableSettingsRepositoryOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly randomness: Randomness
}

interface StoredTeamRow extends TeamRow {
  readonly version: number
}

/** All rows that a change depends on, as they were read. */
interface StoredSettings {
  readonly revision: number
  readonly revisionVersion: number
  readonly teams: ReadonlyMap<string, StoredTeamRow>
}

interface ProposedChange {
  readonly team: string
  readonly subtree: Subtree
  readonly expected: number
  readonly author: string
  readonly nonce: string
}

/**
 * A settings repository backed by the table service.
 *
 * @example
 * const repository = new TableSettingsRepository({ table, clock, randomness })
 */
export class TableSettingsRepository implements SettingsRepository {
  readonly #table: TableService
  readonly #clock: Clock
  readonly #randomness: Randomness

  constructor ({ table, clock, randomness }: TableSettingsRepositoryOptions) {
    this.#table = table
    this.#clock = clock
    this.#randomness = randomness
  }

  async read (team: string): Promise<Result<{ readonly revision: number, readonly subtree: Subtree | undefined }, SettingsRejection>> {
    const row = await this.#table.read(teamTable, team)
    if (row.err) return unavailableError(row.val)
    if (row.val === undefined) return Ok({ revision: 0, subtree: undefined })
    const stored = parseTeamRow(row.val)
    if (stored.err) return stored
    return Ok({ revision: stored.val.revision, subtree: stored.val.subtree })
  }

  async put (team: string, subtree: Subtree, options: { readonly expected: number, readonly author: string }): Promise<Result<number, SettingsRejection>> {
    const checked = checkDocument(subtree, `settings/${team}`, subtreeSchema)
    if (checked.err) return Err({ reason: 'faults', faults: checked.val })
    const proposal = { team, subtree: checked.val, ...options, nonce: this.#randomness.identifier() }
    for (let attempt = 0; attempt < maximumAttempts; attempt++) {
      const outcome = await this.#attempt(proposal)
      if (outcome.err) return outcome
      if (outcome.val !== undefined) return Ok(outcome.val)
    }
    return Err({ reason: 'unavailable', mayHaveApplied: false })
  }

  async revision (): Promise<Result<number, SettingsRejection>> {
    const row = await this.#table.read(revisionTable, revisionKey)
    if (row.err) return unavailableError(row.val)
    return parseRevisionRow(row.val)
  }

  async changesAfter (revision: number, limit: number): Promise<Result<readonly SettingsChange[], SettingsRejection>> {
    const page = await this.#table.scan(historyTable, { prefix: '', after: historyKey(revision), limit })
    if (page.err) return unavailableError(page.val)
    const changes: SettingsChange[] = []
    for (const row of page.val.rows) {
      const change = checkDocument(row.value, `settings_history/${row.key}`, changeSchema)
      if (change.err) return Err({ reason: 'faults', faults: change.val })
      changes.push(change.val)
    }
    return Ok(changes)
  }

  async snapshot (): Promise<Result<SettingsSnapshot, SettingsRejection>> {
    for (let attempt = 0; attempt < maximumAttempts; attempt++) {
      const stored = await this.#readAll()
      if (stored.err) return stored
      const revision = await this.revision()
      if (revision.err) return revision
      // A change during the reads can leave rows of two different revisions.
      if (revision.val !== stored.val.revision) continue
      return Ok({ revision: revision.val, teams: settingsByTeam(stored.val) })
    }
    return Err({ reason: 'unavailable', mayHaveApplied: false })
  }

  /** Attempts a change once; returns undefined if it conflicted with another team's change and may be retried. */
  async #attempt (proposal: ProposedChange): Promise<Result<number | undefined, SettingsRejection>> {
    const stored = await this.#readAll()
    if (stored.err) return stored
    const current = stored.val.teams.get(proposal.team)
    if ((current?.revision ?? 0) !== proposal.expected) return conflictError(current)
    const revision = stored.val.revision + 1
    const view = SettingsView.of(revision, subtreesByTeam(stored.val).set(proposal.team, proposal.subtree))
    if (view.err) return Err({ reason: 'faults', faults: view.val })
    return this.#commit(this.#buildTransaction(proposal, stored.val), proposal, revision)
  }

  async #commit (transaction: Transaction, proposal: ProposedChange, revision: number): Promise<Result<number | undefined, SettingsRejection>> {
    const commit = await this.#table.transact(transaction)
    if (commit.ok && commit.val === TransactionOutcome.Committed) return Ok(revision)
    if (commit.ok) return Ok(undefined)
    if (!commit.val.mayHaveApplied) return Err({ reason: 'unavailable', mayHaveApplied: false })
    return this.#resolveUnknownOutcome(transaction, proposal, revision)
  }

  /**
   * Determines the outcome of a write whose reply was lost. As long as no change is stored under its
   * revision, the write may still be in flight. Resubmitting the same transaction decides the outcome,
   * since only one of the two can be applied.
   */
  async #resolveUnknownOutcome (transaction: Transaction, proposal: ProposedChange, revision: number): Promise<Result<number | undefined, SettingsRejection>> {
    for (let attempt = 0; attempt < maximumAttempts; attempt++) {
      const found = await this.#table.read(historyTable, historyKey(revision))
      if (found.err) {
        await this.#clock.sleep(outcomeRetryMilliseconds)
        continue
      }
      if (found.val !== undefined) return this.#outcomeFromHistory(found.val, proposal, revision)
      await this.#table.transact(transaction)
    }
    return Err({ reason: 'unavailable', mayHaveApplied: true })
  }

  #outcomeFromHistory (row: Row, proposal: ProposedChange, revision: number): Result<number | undefined, SettingsRejection> {
    const change = checkDocument(row.value, `settings_history/${row.key}`, changeSchema)
    if (change.err) return Err({ reason: 'faults', faults: change.val })
    return Ok(change.val.nonce === proposal.nonce ? revision : undefined)
  }

  #buildTransaction (proposal: ProposedChange, stored: StoredSettings): Transaction {
    const { team, subtree, author, nonce } = proposal
    const revision = stored.revision + 1
    const change: SettingsChange = { revision, team, author, at: this.#clock.now(), nonce, subtree }
    return {
      conditions: [
        { table: teamTable, key: team, version: stored.teams.get(team)?.version ?? 0 },
        { table: revisionTable, key: revisionKey, version: stored.revisionVersion }
      ],
      writes: [
        { table: teamTable, key: team, value: { revision, subtree, nonce } },
        { table: revisionTable, key: revisionKey, value: { revision } },
        { table: historyTable, key: historyKey(revision), value: change }
      ]
    }
  }

  /** Reads the global revision first, so that any later change makes the transaction conflict. */
  async #readAll (): Promise<Result<StoredSettings, SettingsRejection>> {
    const global = await this.#table.read(revisionTable, revisionKey)
    if (global.err) return unavailableError(global.val)
    const revision = parseRevisionRow(global.val)
    if (revision.err) return revision
    const teams = new Map<string, StoredTeamRow>()
    let after: string | undefined
    do {
      const page = await this.#table.scan(teamTable, after === undefined ? { prefix: '' } : { prefix: '', after })
      if (page.err) return unavailableError(page.val)
      for (const row of page.val.rows) {
        const team = parseTeamRow(row)
        if (team.err) return team
        teams.set(row.key, team.val)
      }
      after = page.val.next
    } while (after !== undefined)
    return Ok({ revision: revision.val, revisionVersion: global.val?.version ?? 0, teams })
  }
}

function historyKey (revision: number): string {
  return String(revision).padStart(revisionDigits, '0')
}

function parseRevisionRow (row: Row | undefined): Result<number, SettingsRejection> {
  if (row === undefined) return Ok(0)
  const checked = checkDocument(row.value, `settings_revision/${row.key}`, revisionRowSchema)
  return checked.err ? Err({ reason: 'faults', faults: checked.val }) : Ok(checked.val.revision)
}

function parseTeamRow (row: Row): Result<StoredTeamRow, SettingsRejection> {
  const checked = checkDocument(row.value, `settings/${row.key}`, teamRowSchema)
  if (checked.err) return Err({ reason: 'faults', faults: checked.val })
  return Ok({ ...checked.val, version: row.version })
}

function subtreesByTeam (stored: StoredSettings): Map<string, Subtree> {
  return new Map([...stored.teams].map(([team, row]) => [team, row.subtree]))
}

function settingsByTeam (stored: StoredSettings): Map<string, TeamSettings> {
  return new Map([...stored.teams].map(([team, { revision, subtree }]) => [team, { revision, subtree }]))
}

function conflictError (current: StoredTeamRow | undefined): Result<never, SettingsRejection> {
  const subtree = current?.subtree ?? subtreeSchema.parse({})
  return Err({ reason: 'conflict', conflict: new SettingsConflict(current?.revision ?? 0, subtree) })
}

function unavailableError (failure: PlatformUnavailable): Result<never, SettingsRejection> {
  return Err({ reason: 'unavailable', mayHaveApplied: failure.mayHaveApplied })
}
