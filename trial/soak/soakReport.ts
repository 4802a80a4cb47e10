/** What remains of a soak: nothing if it has found nothing, else its logs, records and findings. */
import { rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { type Finding, describeFinding } from './finding.ts'
import type { SoakRecord } from './records.ts'

export interface SoakReport {
  readonly findings: readonly Finding[]
  readonly records: readonly SoakRecord[]
  /** Where the logs of all processes are. */
  readonly logFolder: string
}

/**
 * Writes records and findings to the folder of the logs, or removes it.
 *
 * @returns the folder, if there are findings
 */
export function keepFindings ({ findings, records, logFolder }: SoakReport, seed: number): string | undefined {
  if (findings.length === 0) {
    rmSync(logFolder, { recursive: true })
    return undefined
  }
  writeFileSync(join(logFolder, 'records.jsonl'), records.map(record => `${JSON.stringify(record)}\n`).join(''))
  writeFileSync(join(logFolder, 'findings.txt'), findings.map(finding => `${describeFinding(finding, seed)}\n`).join(''))
  return logFolder
}
