import type { JobKind } from './load-pattern.js'

/**
 * Kinds of jobs on a site that client accounts share, after the table in docs/design/accounts-overload-and-limits.md. On 245
 * targets of 16 cores they ask for 0.84 of the cores. Their queues have no placement policy, so that only capacity is short. A
 * late job has a fifth of its worth.
 */
export const ACCOUNT_KINDS: readonly JobKind[] = [
  {
    name: 'urgent',
    ratePerTarget: 0.257,
    priority: 0,
    steps: { mean: 1, sigma: 0, maximum: 1 },
    tasks: { mean: 3, sigma: 0.4, maximum: 10 },
    cpuMillis: { mean: 2_800, sigma: 0.3, maximum: 5_000 },
    memoryMb: { mean: 2_500, sigma: 0.4, maximum: 8_000 },
    durationMs: { mean: 750, sigma: 0.3, maximum: 2_000 },
    estimateFactor: 1.3,
    gangShare: 0,
    stretch: 1.5,
    targetDurationMs: 250,
    worth: 1,
    lateWorth: 0.2
  },
  {
    name: 'gang',
    ratePerTarget: 0.0102,
    priority: 1,
    steps: { mean: 1, sigma: 0, maximum: 1 },
    tasks: { mean: 24, sigma: 0.5, maximum: 80 },
    cpuMillis: { mean: 5_500, sigma: 0.3, maximum: 9_000 },
    memoryMb: { mean: 5_000, sigma: 0.4, maximum: 13_000 },
    durationMs: { mean: 4_600, sigma: 0.3, maximum: 9_000 },
    estimateFactor: 1.3,
    gangShare: 0.6,
    stretch: 2.2,
    targetDurationMs: 1_000,
    worth: 6,
    lateWorth: 1.2
  },
  {
    name: 'wide',
    ratePerTarget: 0.0388,
    priority: 2,
    steps: { mean: 1.5, sigma: 0.3, maximum: 2 },
    tasks: { mean: 25, sigma: 0.5, maximum: 120 },
    cpuMillis: { mean: 1_900, sigma: 0.3, maximum: 3_500 },
    memoryMb: { mean: 1_800, sigma: 0.4, maximum: 5_000 },
    durationMs: { mean: 2_050, sigma: 0.3, maximum: 5_000 },
    estimateFactor: 1.3,
    gangShare: 0,
    stretch: 4,
    targetDurationMs: 3_000,
    worth: 2,
    lateWorth: 0.4
  }
]
