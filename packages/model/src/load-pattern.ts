import type { AdvicePolicy } from '@hibiscusledge/jobs/job.js'
import { ACCOUNT_KINDS } from './account-kinds.js'

/** A quantity that is drawn from a log-normal distribution. */
export interface Spread {
  readonly mean: number
  /** Standard deviation of the logarithm. */
  readonly sigma: number
  readonly maximum: number
}

/** One kind of job. */
export interface JobKind {
  readonly name: string
  /** Jobs a second for each target. */
  readonly ratePerTarget: number
  /** Priority of the kind's queue; 0 comes first. */
  readonly priority: number
  readonly steps: Spread
  readonly tasks: Spread
  readonly cpuMillis: Spread
  readonly memoryMb: Spread
  readonly durationMs: Spread
  /** Largest factor between a task's estimated and its actual duration, in either direction. */
  readonly estimateFactor: number
  /** Share of the steps that are gangs. */
  readonly gangShare: number
  readonly stretch: number
  readonly targetDurationMs: number
  /** Worth of a job that is completed within its objective, and of one within three times the objective. */
  readonly worth: number
  readonly lateWorth: number
  /** Undefined where the queue has no placement policy. */
  readonly advice?: AdvicePolicy & { readonly permittedShare: number }
}

/** A kind of job that arrives more often for some time. */
export interface Burst {
  readonly kind: string
  readonly factor: number
  readonly fromMs: number
  readonly durationMs: number
}

/** An account whose jobs of every kind arrive more often for some time. */
export interface AccountBurst {
  readonly account: string
  readonly factor: number
  readonly fromMs: number
  readonly durationMs: number
}

/** Targets that leave at short notice. */
export interface CapacityLoss {
  readonly share: number
  readonly atMs: number
  readonly noticeMs: number
}

/** Targets on which everything takes longer for some time. */
export interface Slowdown {
  readonly share: number
  readonly factor: number
  readonly fromMs: number
  readonly durationMs: number
}

/** A time in which the store answers no call. */
export interface StoreOutage {
  readonly fromMs: number
  readonly durationMs: number
}

/** The load and the faults of one experiment. */
export interface LoadPattern {
  readonly name: string
  readonly description: string
  readonly kinds: readonly JobKind[]
  readonly bursts: readonly Burst[]
  readonly accountBurst?: AccountBurst
  readonly capacityLoss?: CapacityLoss
  readonly slowdown?: Slowdown
  readonly outage?: StoreOutage
}

/** Long tasks of several cores that start and end together. */
const GANG_KIND: JobKind = {
  name: 'gang',
  priority: 1,
  ratePerTarget: 0.0168,
  steps: { mean: 1.2, sigma: 0.4, maximum: 3 },
  tasks: { mean: 20, sigma: 0.8, maximum: 120 },
  cpuMillis: { mean: 4_500, sigma: 0.4, maximum: 7_600 },
  memoryMb: { mean: 6_300, sigma: 0.5, maximum: 13_000 },
  durationMs: { mean: 4_000, sigma: 0.5, maximum: 10_000 },
  estimateFactor: 1.9,
  gangShare: 1,
  stretch: 2.2,
  targetDurationMs: 1_000,
  worth: 7.2,
  lateWorth: 1.44,
  advice: { decisionMs: 455, perTargetMs: 6.5, validityMs: 1_500, permittedShare: 0.25 }
}

/** Many small tasks that can wait. */
const WIDE_KIND: JobKind = {
  name: 'wide',
  priority: 2,
  ratePerTarget: 0.0282,
  steps: { mean: 1.5, sigma: 0.4, maximum: 4 },
  tasks: { mean: 25, sigma: 0.8, maximum: 150 },
  cpuMillis: { mean: 1_700, sigma: 0.45, maximum: 5_200 },
  memoryMb: { mean: 1_800, sigma: 0.6, maximum: 5_300 },
  durationMs: { mean: 2_700, sigma: 0.5, maximum: 6_800 },
  estimateFactor: 1.9,
  gangShare: 0,
  stretch: 4,
  targetDurationMs: 3_000,
  worth: 2.7,
  lateWorth: 0.54,
  advice: { decisionMs: 130, perTargetMs: 1.8, validityMs: 1_500, permittedShare: 0.45 }
}

/** Short tasks that callers wait for. */
const SHORT_KIND: JobKind = {
  name: 'short',
  priority: 0,
  ratePerTarget: 0.252,
  steps: { mean: 1, sigma: 0, maximum: 1 },
  tasks: { mean: 3.2, sigma: 0.8, maximum: 19 },
  cpuMillis: { mean: 2_500, sigma: 0.45, maximum: 7_400 },
  memoryMb: { mean: 4_600, sigma: 0.6, maximum: 14_000 },
  durationMs: { mean: 1_000, sigma: 0.5, maximum: 2_500 },
  estimateFactor: 1.5,
  gangShare: 0.3,
  stretch: 1.5,
  targetDurationMs: 300,
  worth: 0.42,
  lateWorth: 0.084,
  advice: { decisionMs: 14, perTargetMs: 0.2, validityMs: 1_500, permittedShare: 0.7 }
}

/** Accounts that submit the jobs, in turn. */
export const ACCOUNT_NAMES: readonly string[] = Array.from({ length: 20 }, (_, index) => `account-${index}`)

const KINDS = [GANG_KIND, WIDE_KIND, SHORT_KIND]

/** Patterns of large sites. Times count from the start of the load. */
export const LOAD_PATTERNS: readonly LoadPattern[] = [
  { name: 'calm', description: 'about 88 % of the cores are asked for, without bursts', kinds: KINDS, bursts: [] },
  {
    name: 'wide-flood',
    description: 'a flood of wide steps that can wait, and a burst of gangs after it',
    kinds: KINDS,
    bursts: [
      { kind: WIDE_KIND.name, factor: 2.5, fromMs: 2_000, durationMs: 6_000 },
      { kind: GANG_KIND.name, factor: 1.6, fromMs: 16_000, durationMs: 4_000 }
    ]
  },
  {
    name: 'short-burst',
    description: 'a burst of short tasks onto a full pool',
    kinds: KINDS,
    bursts: [{ kind: SHORT_KIND.name, factor: 2.1, fromMs: 8_000, durationMs: 4_000 }]
  },
  {
    name: 'capacity-loss',
    description: 'a twelfth of the targets leaves at short notice',
    kinds: KINDS,
    bursts: [],
    capacityLoss: { share: 0.08, atMs: 8_000, noticeMs: 2_000 }
  },
  {
    name: 'slow-targets',
    description: 'a sixth of the targets takes four times as long for some seconds',
    kinds: KINDS,
    bursts: [],
    slowdown: { share: 0.16, factor: 4, fromMs: 8_000, durationMs: 6_500 }
  },
  {
    name: 'store-outage',
    description: 'the store answers no call for some seconds',
    kinds: KINDS,
    bursts: [],
    outage: { fromMs: 8_000, durationMs: 4_500 }
  },
  {
    name: 'three-bursts',
    description: 'bursts of all three kinds at once, three times in a row',
    kinds: ACCOUNT_KINDS,
    bursts: ['urgent', 'gang', 'wide'].flatMap((kind) => [
      { kind, factor: 2.5, fromMs: 2_000, durationMs: 7_000 },
      { kind, factor: 2.5, fromMs: 11_000, durationMs: 7_000 },
      { kind, factor: 2.5, fromMs: 20_000, durationMs: 7_000 }
    ])
  },
  {
    name: 'account-burst',
    description: 'one account submits at seven times its rate',
    kinds: ACCOUNT_KINDS,
    bursts: [],
    accountBurst: { account: 'account-0', factor: 7, fromMs: 8_000, durationMs: 6_500 }
  }
]
