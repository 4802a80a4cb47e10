// Runs the README's test command and prints a summary line with the test counts. Failures listed in
// KNOWN-RED.txt are printed but do not fail the run; any other failure does.
import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const report = join(mkdtempSync(join(tmpdir(), 'lavenderdoor-tests-')), 'report.json')
const run = spawnSync('npm', ['test', '--', '--reporter=default', '--reporter=json', `--outputFile=${report}`], { stdio: 'inherit' })

if (!existsSync(report)) {
  console.log('the test runner wrote no report')
  process.exit(run.status || 1)
}

/** Full names of the tests listed in KNOWN-RED.txt; each entry has a line `test: <full name>`. */
function knownFailures () {
  if (!existsSync('KNOWN-RED.txt')) return []
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  return lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
}

const result = JSON.parse(readFileSync(report, 'utf8'))
const listed = new Set(knownFailures())
const failures = result.testResults.flatMap(file => file.assertionResults.filter(test => test.status === 'failed'))
const unlisted = failures.filter(test => !listed.has(test.fullName))
const brokenFiles = result.testResults.filter(file => file.status === 'failed' && file.assertionResults.every(test => test.status !== 'failed'))

for (const test of failures.filter(test => listed.has(test.fullName))) console.log(`known red: ${test.fullName}`)
for (const test of unlisted) console.log(`failed: ${test.fullName}`)
for (const file of brokenFiles) console.log(`failed to run: ${file.name.split('/').pop()}`)

const skipped = result.numPendingTests + (result.numTodoTests ?? 0)
const failed = unlisted.length + brokenFiles.length
console.log(`${result.numPassedTests} passed, ${failed} failed, ${skipped} skipped`)
process.exit(failed > 0 || result.numPassedTests === 0 ? 1 : 0)
