import { expect, test } from 'vitest'
import { RollOutVerdict, SequentialRollOutGuard } from '../src/choice/index.ts'
import { RollOutMonitor } from '../src/entry/index.ts'
import { MutableSettingsSource } from './fakes/entryWorld.ts'

const settingsText = `
kinds = ["tagging"]
session_keys = [{ name = "first", secret = "a session secret of the tests, long enough" }]
[models.small]
price = 1
[models.small.versions.1]
[models.small.versions.2]
state = "candidate"
[models.small.roll_out]
from = "1"
to = "2"
share = 0.1
`

function createMonitor (): RollOutMonitor {
  const settings = new MutableSettingsSource()
  settings.install(settingsText)
  const monitor = new RollOutMonitor(settings, (from, to) => new SequentialRollOutGuard({ from, to }))
  for (let index = 0; index < 40; index++) {
    for (const run of monitor.openRuns('small@1', 'tagging', 0)) {
      run.recordBegin(100)
      run.recordEvents(20, 500)
      run.finish(500)
    }
  }
  return monitor
}

test('a version whose attempts are still waiting long after the old version would have answered is halted', () => {
  const monitor = createMonitor()
  for (let index = 0; index < 20; index++) monitor.openRuns('small@2', 'tagging', 1_000)
  expect(monitor.verdicts(1_100).map(({ verdict }) => verdict)).toEqual([RollOutVerdict.Continue])
  expect(monitor.verdicts(2_000).map(({ verdict }) => verdict)).toEqual([RollOutVerdict.Halt])
  expect(monitor.isStopped('small@2')).toBe(true)
})

test('a version whose attempts are given up while they are slow is halted', () => {
  const monitor = createMonitor()
  for (let index = 0; index < 20; index++) for (const run of monitor.openRuns('small@2', 'tagging', 1_000)) run.abandon(3_000)
  expect(monitor.verdicts(3_000).map(({ verdict }) => verdict)).toEqual([RollOutVerdict.Halt])
})

test('attempts that callers cancel early say nothing against their version', () => {
  const monitor = createMonitor()
  for (let index = 0; index < 60; index++) for (const run of monitor.openRuns('small@2', 'tagging', 1_000)) run.abandon(1_050)
  expect(monitor.verdicts(3_000).map(({ verdict }) => verdict)).toEqual([RollOutVerdict.Continue])
})
