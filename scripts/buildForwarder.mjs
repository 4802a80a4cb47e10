// Builds target/forwarder.cjs, the gateway program of deploy/system.toml.
import { mkdirSync } from 'node:fs'
import { bundle } from './bundle.mjs'

mkdirSync('target', { recursive: true })
await bundle('src/forwarder/main.ts', 'target/forwarder.cjs', { minify: true })
