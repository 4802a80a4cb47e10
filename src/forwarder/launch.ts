/**
 * Starts the bundled gateway program. It listens for callers first, so that they wait while the program is
 * loaded, and loads it with V8's code cache, which the build writes beside it: compiling it would take most
 * of the start. V8 rejects a cache that was written by another version or with other flags, and then
 * compiles the program as usual.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { join } from 'node:path'
import { Script } from 'node:vm'
// The index files would load what the launcher is to load later.
import { bootFilePathVariable, readCallerAddress } from '../../platform/callerAddress.ts'
import { CallerListener } from '../server/callerListener.ts'
import { ProcessSignals } from './processSignals.ts'

/** Given as the only argument, compiles the program and writes its cache instead of starting it. */
const writeCacheFlag = '--write-code-cache'

/** What the bundled program exports. */
interface Program {
  main (listener: CallerListener, signals: ProcessSignals): Promise<void>
}

type ModuleFunction = (exports: Partial<Program>, require: NodeJS.Require, module: { exports: Partial<Program> }) => void

const programPath = join(__dirname, 'forwarder.cjs')
const cachePath = `${programPath}.cache`

async function launch (): Promise<void> {
  if (process.argv.includes(writeCacheFlag)) return writeCache()
  // Signals are kept before the first caller can wait.
  const signals = new ProcessSignals()
  const listener = new CallerListener()
  await listenEarly(listener)
  await load(compile()).main?.(listener, signals)
}

/** A failure to listen is left to the program, which reports it. */
async function listenEarly (listener: CallerListener): Promise<void> {
  const address = readCallerAddress(process.env[bootFilePathVariable])
  if (address !== undefined) await listener.listen(address).catch(() => undefined)
}

function compile (): Script {
  const source = readFileSync(programPath, 'utf8')
  return new Script(`(function (exports, require, module) {${source}\n})`, { filename: programPath, cachedData: readCache() })
}

function load (script: Script): Partial<Program> {
  const module: { exports: Partial<Program> } = { exports: {} }
  const run = script.runInThisContext() as ModuleFunction
  run(module.exports, createRequire(programPath), module)
  return module.exports
}

/** The functions that loading runs are compiled by then, so the cache holds them as well. */
function writeCache (): void {
  const script = compile()
  load(script)
  writeFileSync(cachePath, script.createCachedData())
}

/** The code cache; undefined if none was written. */
function readCache (): Buffer | undefined {
  try {
    return readFileSync(cachePath)
  } catch {
    return undefined
  }
}

// The program reports its own failures; what is left is one of loading it.
launch().catch(error => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`)
  process.exit(1)
})
