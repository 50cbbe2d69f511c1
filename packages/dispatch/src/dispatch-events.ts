/** Names of the log events of this package. */
export const DISPATCH_EVENTS = {
  ledgerLoadFailed: 'ledger.load.failed',
  ledgerCommitFailed: 'ledger.commit.failed',
  ledgerSegmentUnreadable: 'ledger.segment.unreadable',
  partitionStarted: 'home.partition.started',
  partitionStopped: 'home.partition.stopped',
  requestEnded: 'home.request.ended',
  requestOutcomeChanged: 'home.request.outcomeChanged',
  shardStarted: 'shard.started',
  shardStopped: 'shard.stopped',
  shardRecovered: 'shard.recovered',
  attemptNotSent: 'shard.attempt.notSent',
  attemptUnknown: 'shard.attempt.unknown',
  targetLeaving: 'shard.target.leaving',
  resultReportDropped: 'shard.resultReport.dropped',
  messageRejected: 'dispatch.message.rejected'
} as const
