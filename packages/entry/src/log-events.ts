/** Names of the log events of the process, documented in docs/request-path-operations.md. */
export const LOG_EVENTS = {
  stateChanged: 'instance.stateChanged',
  listening: 'api.listening',
  requestFailed: 'api.requestFailed',
  connectionRefused: 'api.connectionRefused',
  drainStarted: 'drain.started',
  drainRefusing: 'drain.refusing',
  drainFinished: 'drain.finished',
  drainTimedOut: 'drain.timedOut',
  handOverFailed: 'drain.handOverFailed',
  closeFailed: 'drain.closeFailed',
  terminatedAtOnce: 'process.terminatedAtOnce',
  startFailed: 'process.startFailed',
  internalFault: 'process.internalFault',
  metricsFailed: 'metrics.failed',
  spansDropped: 'spans.dropped',
  span: 'span'
} as const
