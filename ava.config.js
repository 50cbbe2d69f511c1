export default {
  files: ['packages/*/dist/tests/**/*.test.js', 'platform/dist/tests/**/*.test.js', '!platform/dist/tests/apart/**'],
  timeout: '5m',
  workerThreads: false,
  concurrency: 6
}
