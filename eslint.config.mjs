import neostandard from 'neostandard'

/**
 * The layers of src, lowest first. A module may import only the index files of modules in lower
 * layers; modules of the same layer may not import each other.
 */
const layers = [
  ['contract'],
  ['rateLimit'],
  ['observe', 'routing', 'server', 'httpClient'],
  ['settings', 'link', 'store'],
  ['membership', 'claim', 'billing', 'session', 'choice', 'endpoint', 'distribution', 'replica', 'breaker', 'fleet', 'fleetLoad', 'misdirection'],
  ['entry', 'placement', 'news'],
  ['steward', 'gateway'],
  ['daemon', 'standin', 'forwarder'],
  ['command']
]

function importRules (layer, depth) {
  const lower = layers.slice(0, depth).flat()
  return layer.map(name => ({
    files: [`src/${name}/**/*.ts`],
    rules: {
      'no-restricted-imports': ['error', {
        patterns: [{
          // The forwarder, which runs on the users' VMs, is the only module that may import their platform's adapter.
          regex: name === 'forwarder'
            ? `^\\.\\./(?!(${lower.join('|')}|\\.\\./platform)/index\\.ts$).*$`
            : `^\\.\\./(?!(${lower.join('|') || 'nothing'})/index\\.ts$).*$`,
          message: `${name} may import only the index files of: ${lower.join(', ') || 'nothing'}.`
        }]
      }]
    }
  }))
}

export default [
  { ignores: ['dist/**', 'target/**', 'node_modules/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      // A constant object and the type of its values share a name; the compiler reports real redeclarations.
      '@typescript-eslint/no-redeclare': 'off'
    }
  },
  {
    // The time of day may jump, so nothing is decided by it. Logs and the command line show it, and stand-ins play on it.
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    ignores: ['src/observe/**', 'src/command/**', 'src/standin/**', 'src/forwarder/main.ts'],
    rules: {
      'no-restricted-globals': ['error', { name: 'Date', message: 'The time of day may jump. Use a Clock.' }]
    }
  },
  {
    files: ['platform/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', {
        patterns: [{
          regex: '^\\.\\./src/(?!(contract|httpClient|rateLimit|routing|replica|server)/index\\.ts$).*$',
          message: 'platform may import only the index files of: contract, httpClient, rateLimit, routing, replica, server. It decodes and encodes values and contains no logic of its own.'
        }]
      }]
    }
  },
  ...layers.flatMap((layer, depth) => importRules(layer, depth)),
  {
    // The launcher is bundled apart from the program, and must not load the modules behind the index files.
    files: ['src/forwarder/launch.ts'],
    rules: { 'no-restricted-imports': 'off' }
  }
]
