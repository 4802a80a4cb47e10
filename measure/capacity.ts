/**
 * `npm run measure:capacity`: runs the measurements of cost per unit one after the other and prints their
 * results as one JSON document. Takes some minutes; nothing else should run on the machine meanwhile.
 */
import { spawnSync } from 'node:child_process'
import { cpus, totalmem } from 'node:os'

const programs = [
  ['measure/settings.ts'],
  ['measure/settingsConvergence.ts'],
  ['measure/claims.ts'],
  ['measure/billing.ts'],
  ['measure/membership.ts'],
  ['measure/path.ts', '--seconds', '5']
] as const

const bytesPerGigabyte = 2 ** 30

/** Parses a program's output, which is one JSON document or one on each line; other lines are ignored. */
function documentsOf (output: string): unknown[] {
  const document = tryParse(output)
  if (document !== undefined) return [document]
  return output.split('\n').flatMap(line => tryParse(line) ?? [])
}

function tryParse (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

const results = programs.map(([program, ...programArguments]) => {
  process.stderr.write(`${program}\n`)
  const run = spawnSync(process.execPath, ['--expose-gc', 'scripts/run.mjs', program, ...programArguments], { encoding: 'utf8', maxBuffer: 64 * 2 ** 20 })
  return { program, exitCode: run.status, results: documentsOf(run.stdout) }
})
console.log(JSON.stringify({ date: new Date().toISOString(), node: process.version, cores: cpus().length, gigabytes: Math.round(totalmem() / bytesPerGigabyte), measurements: results }, undefined, 1))
process.exit(results.every(result => result.exitCode === 0) ? 0 : 1)
