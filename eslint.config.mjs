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

/**
 * Timers run before input is read, so after a stall of the event loop a timer of one's own takes a reply that has arrived for
 * missing. Replies are waited for with withDeadline, deadlineSignal, ReplyDeadline and the reply timeouts of contract.
 */
const ownTimers = [
  { selector: 'CallExpression[callee.name=/^set(Timeout|Interval)$/]', message: 'Use a Clock: withDeadline or a reply timeout for what is to arrive, schedule for the rest.' },
  { selector: 'ImportDeclaration[source.value=/^(node:)?timers/]', message: 'Use a Clock.' },
  { selector: "CallExpression[callee.object.name='AbortSignal'][callee.property.name='timeout']", message: 'Use deadlineSignal or replyTimeoutSignal.' },
  { selector: "CallExpression[callee.object.name='Promise'][callee.property.name='race'] > ArrayExpression > :matches(CallExpression[callee.property.name='sleep'][callee.object.name='clock'], CallExpression[callee.property.name='sleep'][callee.object.property.name='clock'], Identifier[name=/time(out|r)/i])", message: 'Use withDeadline or withReplyTimeout.' },
  { selector: "CallExpression[callee.name='buildConnector']", message: 'Use createConnector, whose connect timeout counts only while the process runs.' },
  { selector: "Property[key.name='bodyTimeout']:not([value.value=0])", message: 'Turn the timeouts of the HTTP library off (0) and use a reply timeout.' }
]

/** Files whose timers wait for no reply, or make the time of all others. */
const timerFiles = [
  'src/contract/clock.ts',
  'src/contract/eventLoopMonitor.ts',
  // Batches of log lines.
  'src/observe/lineQueue.ts',
  // Limits for callers: what they send and read. Those of heads read what has arrived first.
  'src/entry/eventStreamWriter.ts',
  'src/gateway/headRefusals.ts',
  'src/server/boundedBody.ts',
  'src/server/connectionGuard.ts',
  'src/server/endAfterRequest.ts',
  'src/server/incomingBody.ts',
  'src/server/lingeringClose.ts',
  'src/standin/**',
  'platform/standin/**'
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
    ignores: ['src/observe/**', 'src/command/**', 'src/standin/**', 'src/forwarder/main.ts', 'platform/standin/endpointRegistration.ts'],
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
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    ignores: timerFiles,
    rules: { 'no-restricted-syntax': ['error', ...ownTimers] }
  },
  ...layers.flatMap((layer, depth) => importRules(layer, depth)),
  {
    // The launcher is bundled apart from the program, and must not load the modules behind the index files.
    files: ['src/forwarder/launch.ts'],
    rules: { 'no-restricted-imports': 'off' }
  }
]
