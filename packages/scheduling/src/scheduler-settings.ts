/** Settings of one shard's scheduling core. Times are in milliseconds. */
export interface SchedulerSettings {
  /** Run time assumed for a kind that declares none and was never measured. */
  readonly defaultRuntimeMs: number
  /** Weight of the model against measured starts in a service rate, as seconds of backlog. */
  readonly ratePriorSeconds: number
  /** Time constant with which measured starts are forgotten. */
  readonly rateWindowMs: number
  /** Most queued items of one pool; bounds memory. */
  readonly maxQueuedPerPool: number
  /** Failed placements of a class in one pass before the pass leaves the class. */
  readonly placementTriesPerClass: number
  /** Failed placements of a team in one pass before the pass leaves the team. */
  readonly placementTriesPerTeam: number
  /** Factor on learned sizes. */
  readonly sizeHeadroom: number
  /** Usage reports of a kind before its learned size counts. */
  readonly sizeMinSamples: number
  /** Outcomes of a target before it may be quarantined. */
  readonly quarantineMinOutcomes: number
  /** Least failure rate, 0 to 1, of a target that may be quarantined. */
  readonly quarantineMinFailureRate: number
  /** How many times its peers' failure rate a target must reach. */
  readonly quarantinePeerFactor: number
  /** Greatest share of a pool's targets in quarantine. */
  readonly quarantineMaxShare: number
  readonly probeIntervalMs: number
  readonly probeIntervalMaxMs: number
  /** Successful probes in a row that end a quarantine. */
  readonly probeSuccesses: number
  /** Retries earned by one first attempt. */
  readonly retryShare: number
  /** Retries that are available without any first attempt. */
  readonly retryMinimum: number
  /** Time in which an unused minimum of one retry is earned back. */
  readonly retryMinimumRefillMs: number
  /** Time without progress after which a busy target counts as hung. */
  readonly hungCheckIntervalMs: number
  /** Wait of an urgent item from which preemption is considered. */
  readonly preemptionWaitMs: number
  /** Urgent items for which one pass considers preemption. */
  readonly preemptionTriesPerPass: number
  /** Shortest time between two considerations of preemption in a pool. */
  readonly preemptionIntervalMs: number
  /** Longest time between two full passes over a pool with a backlog, for what changes with time alone. */
  readonly fullPassIntervalMs: number
  /** Time that a checkpoint takes before the capacity is free. */
  readonly checkpointCostMs: number
  /** Most preemptions under way in one pool. */
  readonly maxPreemptionsPerPool: number
  /** How long a single task is the blocked head of its pool before targets are reserved for it. */
  readonly reservationDelayMs: number
  /** Most reservations of one pool for items of classes under their floor. */
  readonly maxFloorReservations: number
  /** Period after which the start of a reservation is estimated again. */
  readonly reservationRefreshMs: number
  /** Overrun of a reservation's first estimate after which other targets are chosen. */
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
