// Tests that measure the memory of processes under load. They run after the others, one at a time.
export default {
  files: ['platform/dist/tests/apart/**/*.test.js'],
  timeout: '5m',
  workerThreads: false,
  concurrency: 1
}
