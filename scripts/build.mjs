// Builds dist/lavenderdoor as a Node single executable application: a copy of the Node binary with
// the minified bundle injected.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { bundle } from './bundle.mjs'

const require = createRequire(import.meta.url)
const program = 'dist/lavenderdoor'
const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

mkdirSync('dist', { recursive: true })
await bundle('src/command/main.ts', 'dist/lavenderdoor.min.cjs', { minify: true })
writeFileSync('dist/sea.json', JSON.stringify({
  main: 'dist/lavenderdoor.min.cjs',
  output: 'dist/lavenderdoor.blob',
  disableExperimentalSEAWarning: true,
  useCodeCache: true
}))
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: ['ignore', 'ignore', 'inherit'] })
copyFileSync(process.execPath, program)
chmodSync(program, 0o755)

const { inject } = require('postject')
const { readFileSync } = await import('node:fs')
await inject(program, 'NODE_SEA_BLOB', readFileSync('dist/lavenderdoor.blob'), { sentinelFuse })
console.log(`built ${program}`)
