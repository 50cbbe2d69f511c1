/** Settings of the scheduler of one shard. Times are in milliseconds. */
export interface SchedulerSettings {
  /** Run time assumed for an item whose run time is neither declared nor learned. */
  readonly defaultRuntimeMs: number
  /** Weight of the modelled service rate against measured starts, in seconds of backlog. */
  readonly ratePriorSeconds: number
  /** Time constant with which measured starts decay. */
  readonly rateWindowMs: number
  /** Largest number of queued items of one pool, which bounds memory. */
  readonly maxQueuedPerPool: number
  /** Failed tries to place items of a class after which a pass tries no more items of the class. */
  readonly placementTriesPerClass: number
  /** Failed tries to place items of a team after which a pass tries no more items of the team. */
  readonly placementTriesPerTeam: number
  /** Factor by which learned sizes are increased. */
  readonly sizeHeadroom: number
  /** Samples of a kind from which its learned size or run time is used. */
  readonly sizeMinSamples: number
  /** Outcomes of a target from which it may be quarantined. */
  readonly quarantineMinOutcomes: number
  /** Failure rate from which a target may be quarantined, 0 to 1. */
  readonly quarantineMinFailureRate: number
  /** Multiple of its peers' failure rate from which a target may be quarantined. */
  readonly quarantinePeerFactor: number
  /** Largest share of a pool's targets in quarantine, 0 to 1. */
  readonly quarantineMaxShare: number
  readonly probeIntervalMs: number
  readonly probeIntervalMaxMs: number
  /** Consecutive successful probes that end a quarantine. */
  readonly probeSuccesses: number
  /** Retries earned by one first attempt. */
  readonly retryShare: number
  /** Retries available without any first attempt. */
  readonly retryMinimum: number
  /** Time in which one retry is refilled while the budget is below the minimum. */
  readonly retryMinimumRefillMs: number
  /** Time without progress after which a busy target counts as hung. */
  readonly hungCheckIntervalMs: number
  /** Expected total wait of an urgent item above which preemption is considered. */
  readonly preemptionWaitMs: number
  /** Largest number of urgent items for which one pass considers preemption. */
  readonly preemptionTriesPerPass: number
  /** Shortest interval at which preemption is considered in a pool. */
  readonly preemptionIntervalMs: number
  /** Longest interval between two full passes over a pool with a backlog, since some conditions change with time alone. */
  readonly fullPassIntervalMs: number
  /** Time from the decision to checkpoint a task until its capacity is free. */
  readonly checkpointCostMs: number
  /** Largest number of preemptions in progress in one pool. */
  readonly maxPreemptionsPerPool: number
  /** Time for which a single task must be the blocked head of its pool before targets are reserved for it. */
  readonly reservationDelayMs: number
  /** Largest number of reservations of one pool for items of classes under their floor. */
  readonly maxFloorReservations: number
  /** Interval at which the expected start of a reservation is updated. */
  readonly reservationRefreshMs: number
  /** Delay beyond the first expected start of a reservation after which other targets are chosen. */
  readonly reservationMaxOverrunMs: number
}

export const DEFAULT_SCHEDULER_SETTINGS: SchedulerSettings = {
  defaultRuntimeMs: 1_000,
  ratePriorSeconds: 2,
  rateWindowMs: 10_000,
  maxQueuedPerPool: 50_000,
  placementTriesPerClass: 32,
  placementTriesPerTeam: 32,
  sizeHeadroom: 1.1,
  sizeMinSamples: 5,
  quarantineMinOutcomes: 5,
  quarantineMinFailureRate: 0.5,
  quarantinePeerFactor: 3,
  quarantineMaxShare: 0.25,
  probeIntervalMs: 2_000,
  probeIntervalMaxMs: 60_000,
  probeSuccesses: 2,
  retryShare: 0.1,
  retryMinimum: 3,
  retryMinimumRefillMs: 10_000,
  hungCheckIntervalMs: 3_000,
  preemptionWaitMs: 1_000,
  preemptionTriesPerPass: 4,
  preemptionIntervalMs: 100,
  fullPassIntervalMs: 100,
  checkpointCostMs: 500,
  maxPreemptionsPerPool: 32,
  reservationDelayMs: 500,
  maxFloorReservations: 16,
  reservationRefreshMs: 1_000,
  reservationMaxOverrunMs: 30_000
}
