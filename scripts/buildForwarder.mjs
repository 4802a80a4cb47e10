// Builds the gateway program of deploy/system.toml: forwarder.cjs, its launcher and its code cache, into the directory
// that is given, `target` by default.
import { spawnSync } from 'node:child_process'
import { mkdirSync, readFileSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import { parse } from 'smol-toml'
import { bundle } from './bundle.mjs'

const directory = process.argv[2] ?? 'target'
const programPath = join(directory, 'forwarder.cjs')
const launcherPath = join(directory, 'launch.cjs')

mkdirSync(directory, { recursive: true })
// A cache of an earlier build would not match the new program.
rmSync(`${programPath}.cache`, { force: true })
await bundle('src/forwarder/main.ts', programPath, { minify: true })
await bundle('src/forwarder/launch.ts', launcherPath, { minify: true })

// V8 accepts a cache only under the flags that it was written with, so they are taken from the deploy file.
const { roles } = parse(readFileSync('deploy/system.toml', 'utf8'))
const flags = roles.gateway.run.split(' ').filter(word => word.startsWith('--'))
const written = spawnSync(process.execPath, [...flags, launcherPath, '--write-code-cache'], { stdio: 'inherit' })
if (written.status !== 0) throw new Error(`writing the code cache ended with status ${written.status}`)
