export default {
  files: ['packages/*/dist/tests/**/*.test.js', 'platform/dist/tests/**/*.test.js'],
  timeout: '5m',
  workerThreads: false,
  concurrency: 6
}
