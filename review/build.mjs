// Bundles the script of each case, with the stand-ins that it starts, into target/review/N.cjs.
import { existsSync, readdirSync } from 'node:fs'
import { bundle } from '../scripts/bundle.mjs'

for (const name of readdirSync('review')) {
  const entry = `review/${name}/run.ts`
  if (existsSync(entry)) await bundle(entry, `target/review/${name}.cjs`)
}
