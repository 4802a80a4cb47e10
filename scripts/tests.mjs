// Runs the tests, prints those that fail and are listed in KNOWN-RED.txt, and ends with a line of counts. Any
// other failure fails the run, and so does a listed test that passes or does not exist: its entry has to go.
import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** Begins the name of an entry that no test shows yet. */
const noTestMark = '(no test yet)'
const failsSometimes = 'sometimes'

/** The entries of the list that tests show: an entry is a block of lines `field: value`. */
function listedTests () {
  if (!existsSync('KNOWN-RED.txt')) return []
  const blocks = readFileSync('KNOWN-RED.txt', 'utf8').split(/\n\s*\n/)
  const entries = blocks.map(block => new Map(block.split('\n').map(line => line.split(/: (.*)/, 2))))
  const named = entries.filter(entry => entry.has('test') && !entry.get('test').startsWith(noTestMark))
  return named.map(entry => ({ name: entry.get('test').trim(), mayPass: entry.get('fails')?.trim() === failsSometimes }))
}

/** The runner's report; undefined if it wrote none. */
function runTests (runnerArguments) {
  const file = join(mkdtempSync(join(tmpdir(), 'lavenderdoor-tests-')), 'report.json')
  const options = ['vitest', 'run', '--reporter=default', '--reporter=json', `--outputFile=${file}`, ...runnerArguments]
  const { status } = spawnSync('npx', options, { stdio: 'inherit' })
  return existsSync(file) ? { ...JSON.parse(readFileSync(file, 'utf8')), status } : undefined
}

const runnerArguments = process.argv.slice(2)
const isWhole = runnerArguments.length === 0
const report = runTests(runnerArguments)
if (report === undefined) {
  console.log('the test runner wrote no report')
  process.exit(1)
}

const listed = listedTests()
const isListed = ({ fullName }) => listed.some(({ name }) => name === fullName)
const tests = report.testResults.flatMap(file => file.assertionResults)
const failures = tests.filter(test => test.status === 'failed')
const brokenFiles = report.testResults.filter(file => file.status === 'failed' && file.assertionResults.every(test => test.status !== 'failed'))
const failedNames = new Set(failures.map(({ fullName }) => fullName))
// A run of a few files shows nothing of the entries of others.
const wrongEntries = isWhole ? listed.filter(({ name, mayPass }) => !mayPass && !failedNames.has(name)) : []

for (const test of failures.filter(isListed)) console.log(`known red: ${test.fullName}`)
for (const test of failures.filter(test => !isListed(test))) console.log(`failed: ${test.fullName}`)
for (const file of brokenFiles) console.log(`failed to run: ${file.name.split('/').pop()}`)
for (const { name } of wrongEntries) console.log(`listed in KNOWN-RED.txt, but did not fail: ${name}`)

const skipped = report.numPendingTests + (report.numTodoTests ?? 0)
const failed = failures.filter(test => !isListed(test)).length + brokenFiles.length + wrongEntries.length
console.log(`${report.numPassedTests} passed, ${failed} failed, ${skipped} skipped`)
process.exit(failed > 0 || report.numPassedTests === 0 ? 1 : 0)
