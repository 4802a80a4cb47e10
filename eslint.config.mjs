import neostandard from 'neostandard'

/**
 * The modules of src, lowest first. A module may import only from the indexes of modules to its
 * left; modules in one group do not import each other.
 */
const layers = [
  ['contract'],
  ['observe'],
  ['settings', 'link', 'store'],
  ['membership', 'claim', 'billing', 'session', 'choice', 'endpoint', 'distribution'],
  ['entry'],
  ['steward'],
  ['daemon', 'standin'],
  ['command']
]

function importRules (layer, depth) {
  const lower = layers.slice(0, depth).flat()
  return layer.map(name => ({
    files: [`src/${name}/**/*.ts`],
    rules: {
      'no-restricted-imports': ['error', {
        patterns: [{
          regex: `^\\.\\./(?!(${lower.join('|') || 'nothing'})/index\\.ts$).*$`,
          message: `${name} may import only the index of: ${lower.join(', ') || 'nothing'}.`
        }]
      }]
    }
  }))
}

export default [
  { ignores: ['dist/**', 'node_modules/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      // A constant object and the type of its values share a name; the compiler finds real redeclarations.
      '@typescript-eslint/no-redeclare': 'off'
    }
  },
  ...layers.flatMap((layer, depth) => importRules(layer, depth))
]
