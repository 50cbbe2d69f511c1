import { readFileSync } from 'node:fs'
import neostandard from 'neostandard'
import tseslint from 'typescript-eslint'

const VERBS = readFileSync(new URL('docs/verbs.txt', import.meta.url), 'utf8').split('\n').filter((line) => line !== '')

const STARTS_WITH_VERB = { regex: `^(${VERBS.join('|')})([A-Z0-9].*)?$`, match: true }

export default [
  { ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**', '.demo/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    plugins: { 'typescript-eslint': tseslint.plugin },
    rules: {
      'max-len': ['error', { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }],
      'no-void': ['error', { allowAsStatement: true }],
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
