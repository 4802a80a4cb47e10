import { expect, test } from 'vitest'
import { hashFraction } from '../src/contract/index.ts'
import { checkText, describeFault, type Fault, SettingsView, subtreeSchema, versionForNewSession } from '../src/settings/index.ts'

const fleetToml = `
[data_centres.lower-mainland-a]
region = "lower-mainland"
[models.small]
price = 1
[models.small.versions.1]
[models.small.versions.2]
state = "candidate"
[models.small.roll_out]
from = "1"
to = "2"
share = 0.25
[endpoints.engine-1]
address = "127.0.0.1:9001"
data_centre = "lower-mainland-a"
versions = ["small@1", "small@2"]
[organisations.harbour]
key_hashes = ["${'a'.repeat(64)}"]
models = ["small"]
`

function viewOf (text: string, revision = 1): SettingsView {
  const subtree = checkText(text, 'fleet.toml', subtreeSchema).unwrap()
  return SettingsView.of(revision, new Map([['fleet', subtree]])).unwrap()
}

test('an organisation is allowed the versions of its models that are not withdrawn', () => {
  const view = viewOf(fleetToml.replace('state = "candidate"', 'state = "withdrawn"'))
  expect(view.allows('harbour', 'small@1')).toBe(true)
  expect(view.allows('harbour', 'small@2')).toBe(false)
})

test('new sessions take the new version at about the share of the roll-out', () => {
  const view = viewOf(fleetToml)
  const chosen = Array.from({ length: 4_000 }, (_, index) => versionForNewSession(view, 'small', hashFraction(`session ${index}`)))
  const share = chosen.filter(version => version === 'small@2').length / chosen.length
  expect(share).toBeGreaterThan(0.22)
  expect(share).toBeLessThan(0.28)
})

test('all faults of a settings text are reported at once, with their line and the nearest known key', () => {
  const text = fleetToml.replace('price = 1', 'price = "cheap"').replace('region =', 'regoin =')
  const faults = (checkText(text, 'fleet.toml', subtreeSchema).val as Fault[]).map(describeFault)
  expect(faults).toContain('fleet.toml:5: models.small.price: expected a value of type number, found "cheap"')
  expect(faults).toContain('fleet.toml:3: data_centres.lower-mainland-a.regoin: expected no such key (did you mean "region"?), found "regoin"')
  expect(faults).toHaveLength(3)
})

test('a name that two teams use is rejected', () => {
  const subtree = checkText(fleetToml, 'fleet.toml', subtreeSchema).unwrap()
  const merged = SettingsView.of(1, new Map([['fleet', subtree], ['counter', subtree]]))
  expect((merged.val as Fault[]).map(describeFault).join('\n')).toContain('organisations.harbour')
})
