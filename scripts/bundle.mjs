// Bundles a TypeScript entry point for Node. All programs of the repository, the released binary as
// well as trials and benchmarks, are built with these options, so that all of them run the same code.
//   node scripts/bundle.mjs [ENTRY OUTFILE]
import { build } from 'esbuild'
import { readFileSync } from 'node:fs'
import { pathToFileURL } from 'node:url'

const { version } = JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8'))

/** Replaces `cbor-extract`, an optional native add-on of cbor-x, because bundling it would print a warning. */
const withoutNativeExtract = {
  name: 'without-native-extract',
  setup (bundler) {
    bundler.onResolve({ filter: /^cbor-extract$/ }, () => ({ path: 'cbor-extract', namespace: 'absent' }))
    bundler.onLoad({ filter: /.*/, namespace: 'absent' }, () => ({ contents: 'throw new Error("cbor-extract is not installed")' }))
  }
}

/** Bundles `entry` into the CommonJS file `outfile`. */
export async function bundle (entry, outfile, { minify = false } = {}) {
  await build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    minify,
    // Names of functions are of use in stack traces only, which a minified program has no lines for either.
    keepNames: !minify,
    sourcemap: minify ? false : 'inline',
    logLevel: 'warning',
    define: { LAVENDERDOOR_VERSION: JSON.stringify(version) },
    plugins: [withoutNativeExtract]
  })
}

if (import.meta.url === pathToFileURL(process.argv[1]).href) {
  const [entry = 'src/command/main.ts', outfile = 'dist/lavenderdoor.cjs'] = process.argv.slice(2)
  await bundle(entry, outfile)
}
