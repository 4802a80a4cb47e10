// Bundles and runs a TypeScript program of trial/, bench/ or measure/:
//   node scripts/run.mjs trial/demo.ts --seed 7
import { basename, resolve } from 'node:path'
import { createRequire } from 'node:module'
import { bundle } from './bundle.mjs'

const [entry, ...rest] = process.argv.slice(2)
const outfile = resolve('dist', `${basename(entry, '.ts')}.cjs`)
await bundle(entry, outfile)
process.argv = [process.argv[0], outfile, ...rest]
createRequire(import.meta.url)(outfile)
