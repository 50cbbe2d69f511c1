import type { Urgency } from '@hibiscusledge/scheduling/urgency.js'

/** Inclusive bounds of a numeric cell. */
export interface Bounds {
  readonly minimum: number
  readonly maximum: number
}

const ONE_WEEK_MS = 604_800_000

/** Bounds of numeric cells. The maxima only catch mistakes such as bytes given as megabytes. */
export const CELL_BOUNDS = {
  cores: { minimum: 0, maximum: 1_024 },
  memoryMb: { minimum: 0, maximum: 16_777_216 },
  accelerators: { minimum: 0, maximum: 64 },
  tasks: { minimum: 1, maximum: 1_024 },
  runtimeMs: { minimum: 1, maximum: ONE_WEEK_MS },
  deadlineMs: { minimum: 1, maximum: ONE_WEEK_MS },
  retryLimit: { minimum: 0, maximum: 10 },
  slots: { minimum: 1, maximum: 10_000 },
  connections: { minimum: 1, maximum: 100_000 },
  maxQueueMs: { minimum: 0, maximum: ONE_WEEK_MS },
  percent: { minimum: 0, maximum: 100 },
  quotaPercent: { minimum: 0.001, maximum: 100 }
} as const satisfies Record<string, Bounds>

/** Defaults for empty cells of `routes.csv`. */
export const ROUTE_DEFAULTS = {
  urgency: 'normal',
  cores: 0,
  memoryMb: 0,
  accelerators: 0,
  tasks: 1,
  idempotent: false,
  exclusive: false,
  resumable: false,
  service: false,
  deadlineMs: 60_000,
  /** For idempotent routes. Non-idempotent routes are never retried. */
  retryLimit: 2
} as const

/** Defaults for empty cells of `pools.csv`. */
export const POOL_DEFAULTS = {
  floorPercent: 0,
  limitPercent: 100,
  /** The urgent value leaves 0.4 s of the required latency of 1.9 s (p99) for network hops and placement. */
  maxQueueMs: { urgent: 1_500, high: 10_000, normal: 60_000, low: 300_000 } satisfies Record<Urgency, number>
} as const

/** Limited so that sums of percentages can be compared exactly in thousandths. */
export const MAX_DECIMAL_PLACES = 3

export const MAX_NAME_LENGTH = 63
/** Also rejects names such as `__proto__` in labels and quotas. */
export const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/
/** Label values may also contain `/` and `:`, as in image names and addresses. */
export const LABEL_VALUE_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:/-]{0,62}$/
