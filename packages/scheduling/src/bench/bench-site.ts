import type { Resources } from '../resources.js'
import type { TargetKind } from '../target.js'
import type { Urgency } from '../urgency.js'

/** One kind of work of a site. */
export interface BenchKind {
  readonly kind: string
  readonly urgency: Urgency
  readonly resources: Resources
  readonly meanRuntimeMs: number
  readonly deadlineMs: number
  /** Share of the pool's capacity that the kind takes on average without a flood, 0 to 1. */
  readonly loadShare: number
  readonly isResumable: boolean
}

/** One pool of a site with its ordinary work, that is the load without a flood. */
export interface BenchSite {
  readonly name: string
  readonly targetKind: TargetKind
  readonly targetCount: number
  readonly targetsPerRack: number
  readonly kinds: readonly BenchKind[]
}

const NONE: Resources = { cores: 0, memoryMb: 0, accelerators: 0 }

function buildKind (
  kind: string, urgency: Urgency, meanRuntimeMs: number, deadlineMs: number, loadShare: number,
  resources: Resources = NONE, isResumable = false
): BenchKind {
  return { kind, urgency, resources, meanRuntimeMs, deadlineMs, loadShare, isResumable }
}

function buildSize (cores: number, memoryGb: number): Resources {
  return { cores, memoryMb: memoryGb * 1_024, accelerators: 0 }
}

/** The executor and worker pools of two sites at their present sizes. The urgent and low kinds of each are flooded. */
export const BENCH_SITES: readonly BenchSite[] = [
  {
    name: 'harambee executors',
    targetKind: 'executor',
    targetCount: 33,
    targetsPerRack: 8,
    kinds: [
      buildKind('balance-enquiry', 'urgent', 80, 5_000, 0.2),
      buildKind('dues-posting', 'high', 250, 20_000, 0.2),
      buildKind('statement', 'normal', 400, 30_000, 0.1),
      buildKind('reminder', 'low', 150, 30_000, 0.1)
    ]
  },
  {
    name: 'descanso executors',
    targetKind: 'executor',
    targetCount: 32,
    targetsPerRack: 6,
    kinds: [
      buildKind('readiness-check', 'urgent', 60, 5_000, 0.15),
      buildKind('sanitation-dispatch', 'high', 400, 20_000, 0.25),
      buildKind('crew-notice', 'normal', 200, 30_000, 0.1),
      buildKind('supply-reorder', 'low', 120, 30_000, 0.1)
    ]
  },
  {
    name: 'harambee workers',
    targetKind: 'worker',
    targetCount: 33,
    targetsPerRack: 8,
    kinds: [
      buildKind('meeting-report', 'urgent', 1_000, 10_000, 0.1, buildSize(1, 2)),
      buildKind('reconciliation', 'high', 8_000, 120_000, 0.25, buildSize(4, 8), true),
      buildKind('audit', 'normal', 6_000, 120_000, 0.1, buildSize(2, 16), true),
      buildKind('archive', 'low', 5_000, 120_000, 0.1, buildSize(3, 12), true)
    ]
  },
  {
    name: 'descanso workers',
    targetKind: 'worker',
    targetCount: 32,
    targetsPerRack: 6,
    kinds: [
      buildKind('pod-diagnosis', 'urgent', 800, 10_000, 0.1, buildSize(2, 4)),
      buildKind('deep-sanitation-plan', 'high', 6_000, 120_000, 0.25, buildSize(4, 16), true),
      buildKind('crew-roster', 'normal', 4_000, 120_000, 0.1, buildSize(1, 8), true),
      buildKind('reorder-forecast', 'low', 5_000, 120_000, 0.1, buildSize(2, 6), true)
    ]
  }
]
