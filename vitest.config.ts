import { fileURLToPath } from 'node:url'
import { defineConfig } from 'vitest/config'

export default defineConfig({
  resolve: {
    // The main entry of ts-results is CommonJS, whose named exports can't be detected.
    alias: { 'ts-results': fileURLToPath(new URL('node_modules/ts-results/esm/index.js', import.meta.url)) }
  },
  test: {
    include: ['test/**/*.test.ts'],
    testTimeout: 30_000,
    hookTimeout: 30_000,
    pool: 'forks',
    maxWorkers: 6,
    server: { deps: { inline: ['ts-results'] } }
  }
})
