/** Names of the metrics of this package, which docs/OPERATIONS.md describes. */
export const JOB_METRICS = {
  /** Timing, by outcome: from a submission to its answer. */
  acceptance: 'job_acceptance',
  /** Counter, by queue: jobs refused in overload before anything was stored. */
  refusedEarly: 'jobs_refused_early',
  /** Timing, by queue: from the time a step becomes ready to the placement of its tasks. */
  placementWait: 'task_placement_wait',
  /** Timing, by queue and state: from acceptance to the final state. */
  jobDuration: 'job_duration',
  /** Counter, by queue: jobs that were beyond their account's share when the owner adopted them. */
  jobsBeyondShare: 'jobs_beyond_share',
  /** Counter, by queue: steps that had to wait for the quota of their account. */
  quotaWaits: 'quota_waits',
  /** Gauge of the owner: steps that waited for a quota in the last round. */
  quotaWaitingSteps: 'quota_waiting_steps',
  /** Counter, by outcome: runs that ended. */
  runsEnded: 'task_runs_ended',
  /** Timing: one request to the policy service, including its wait for a free instance. */
  advice: 'advice',
  /** Timing: from acquiring ownership to the end of reading all jobs. */
  recovery: 'ownership_recovery',
  /** Counter, by change: ownership acquired or ended by this instance. */
  ownershipChanges: 'ownership_changes',
  /** Timing: one transaction that writes progress. */
  progressWrite: 'progress_write',
  /** Timing, by part: for how long one part of the owner's work blocked the event loop. */
  ownerTurn: 'owner_turn',
  /** Counter, by part: entries that the owner's loops visited. */
  ownerWork: 'owner_work',
  /** Gauges of the owner. */
  activeJobs: 'jobs_active',
  /** Steps of all open occurrences. */
  heldSteps: 'job_steps_held',
  /** Estimated length of the records of all active jobs. */
  heldBytes: 'job_bytes_held',
  /** Tasks with an entry of their own in memory. */
  heldTasks: 'job_tasks_held',
  knownTargets: 'targets_known',
  activeRuns: 'task_runs_active',
  /** Gauge of the owner: jobs that overload control delays. */
  delayedJobs: 'jobs_delayed'
} as const
