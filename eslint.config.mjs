import neostandard from 'neostandard'

/**
 * The modules of src, lowest first. A module may import only from the indexes of modules to its
 * left; modules in one group do not import each other.
 */
const layers = [
  ['contract'],
  ['observe', 'routing', 'server'],
  ['settings', 'link', 'store'],
  ['membership', 'claim', 'billing', 'session', 'choice', 'endpoint', 'distribution', 'replica'],
  ['entry', 'placement'],
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
          // The program on the users' machines is the one place that puts their platform together with ours.
          regex: name === 'forwarder'
            ? `^\\.\\./(?!(${lower.join('|')}|\\.\\./platform)/index\\.ts$).*$`
            : `^\\.\\./(?!(${lower.join('|') || 'nothing'})/index\\.ts$).*$`,
          message: `${name} may import only the index of: ${lower.join(', ') || 'nothing'}.`
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
      // A constant object and the type of its values share a name; the compiler finds real redeclarations.
      '@typescript-eslint/no-redeclare': 'off'
    }
  },
  {
    files: ['platform/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', {
        patterns: [{
          regex: '^\\.\\./src/(?!(contract|routing|replica|server)/index\\.ts$).*$',
          message: 'platform translates into values; it decides nothing and sends nothing of its own.'
        }]
      }]
    }
  },
  ...layers.flatMap((layer, depth) => importRules(layer, depth))
]
