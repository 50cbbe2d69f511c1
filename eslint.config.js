import neostandard from 'neostandard'
import tseslint from 'typescript-eslint'

const VERBS = [
  'abort', 'acknowledge', 'acquire', 'add', 'admit', 'advance', 'allow', 'append', 'apply', 'assert', 'assign', 'await', 'begin', 'bind',
  'broadcast', 'build', 'cancel', 'check', 'choose', 'claim', 'clear', 'close', 'collect', 'commit', 'compare', 'compose', 'compute', 'connect',
  'confirm', 'convert', 'copy', 'count', 'create', 'decode', 'delete', 'deny', 'derive', 'describe', 'detect', 'discard', 'dispatch', 'drain', 'draw', 'drop',
  'emit', 'encode', 'end', 'enqueue', 'ensure', 'escape', 'estimate', 'evict', 'execute', 'expect', 'expire', 'explain', 'export', 'extract', 'fail', 'fetch', 'fill', 'filter',
  'find', 'finish', 'flush', 'format', 'forward', 'generate', 'get', 'grant', 'group', 'hand', 'handle', 'has', 'hash', 'increment', 'inject', 'insert', 'interpret', 'is', 'join',
  'kill', 'list', 'load', 'log', 'lookup', 'make', 'map', 'mark', 'match', 'measure', 'merge', 'normalize', 'note', 'notify', 'observe', 'on', 'open', 'order', 'pack', 'parse', 'partition', 'pause', 'pick', 'place', 'plan', 'poll', 'prepare', 'print',
  'probe', 'promise', 'prove', 'prune', 'publish', 'put', 'quarantine', 'rank', 'read', 'receive', 'reconcile', 'record', 'recover', 'refill', 'refuse', 'register', 'reject', 'release', 'remove',
  'render', 'renew', 'replace', 'replay', 'report', 'request', 'require', 'reserve', 'reset', 'resolve', 'restart', 'restore', 'resume', 'retire', 'retry', 'return', 'revoke', 'run', 'sample', 'save', 'scan', 'schedule', 'score', 'select', 'send', 'serialize', 'serve',
  'set', 'settle', 'should', 'shutdown', 'skip', 'sort', 'spend', 'split', 'spread', 'start', 'stop', 'store', 'submit', 'subscribe', 'subtract', 'sum', 'suspect', 'take', 'test', 'throttle', 'to', 'track', 'transition', 'unregister', 'unsubscribe', 'update', 'use', 'validate', 'verify', 'visit', 'wait',
  'walk', 'watch', 'withdraw', 'wrap', 'write'
]

const STARTS_WITH_VERB = { regex: `^(${VERBS.join('|')})([A-Z0-9].*)?$`, match: true }

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', '.demo/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['packages/**/*.ts'],
    plugins: { 'typescript-eslint': tseslint.plugin },
    rules: {
      'max-len': ['error', { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }],
      'no-restricted-syntax': ['error', { selector: 'TSEnumDeclaration', message: 'Use a constant object with a derived union type.' }],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/naming-convention': ['error',
        { selector: 'function', format: ['camelCase'], custom: STARTS_WITH_VERB },
        { selector: 'classMethod', format: ['camelCase'], custom: STARTS_WITH_VERB }
      ]
    }
  },
  {
    files: ['packages/scheduling/src/**/*.ts'],
    rules: {
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'performance'],
      'no-restricted-properties': ['error', { object: 'Date', property: 'now' }, { object: 'Math', property: 'random' }]
    }
  }
]
