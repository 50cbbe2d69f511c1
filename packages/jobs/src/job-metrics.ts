/** Names of the metrics of this package; docs/OPERATIONS.md describes them. */
export const JOB_METRICS = {
  /** Timing, by outcome: from a submission to its answer. */
  acceptance: 'job_acceptance',
  /** Timing, by queue: from a step's readiness to the placement of a task. */
  placementWait: 'task_placement_wait',
  /** Timing, by queue and state: from acceptance to the final state. */
  jobDuration: 'job_duration',
  /** Counter, by outcome: runs that ended. */
  runsEnded: 'task_runs_ended',
  /** Timing: one question to the policy service, with its wait for a helper. */
  advice: 'advice',
  /** Timing: from acquiring ownership to having read all jobs. */
  recovery: 'ownership_recovery',
  /** Counter: changes of ownership to and from this instance, by change. */
  ownershipChanges: 'ownership_changes',
  /** Timing: one write of progress. */
  progressWrite: 'progress_write',
  /** Gauges of the owner. */
  activeJobs: 'jobs_active',
  knownTargets: 'targets_known',
  activeRuns: 'task_runs_active'
} as const
