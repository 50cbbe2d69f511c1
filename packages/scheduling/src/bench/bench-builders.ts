import { toFailureDomain, toRequestId, toTargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { ClassPolicy, PoolPolicy } from '../pool-policy.js'
import type { Resources } from '../resources.js'
import type { Target, TargetKind } from '../target.js'
import type { WorkItem } from '../work-item.js'
import type { BenchSite } from './bench-site.js'

const DOMAIN = toFailureDomain('bench-a')
const EXECUTOR_SLOTS = 8
const CONNECTIONS = 64
const WORKER_CAPACITY: Resources = { cores: 16, memoryMb: 65_536, accelerators: 0 }

function buildClass (floorPercent: number, limitPercent: number, maxQueueMs: number): ClassPolicy {
  return { floorPercent, limitPercent, maxQueueMs }
}

export function buildBenchPool (name: string, targetKind: TargetKind, teamQuotas: Readonly<Record<string, number>> = {}): PoolPolicy {
  return {
    name,
    targetKind,
    failureDomains: [],
    racks: [],
    labels: {},
    slotsPerTarget: undefined,
    connectionsPerTarget: undefined,
    teamQuotas,
    classes: {
      urgent: buildClass(20, 100, 1_500),
      high: buildClass(30, 90, 10_000),
      normal: buildClass(12, 70, 20_000),
      low: buildClass(5, 60, 20_000)
    }
  }
}

export function buildBenchTarget (index: number, kind: TargetKind, targetsPerRack: number, capacity: Resources = WORKER_CAPACITY): Target {
  const isExecutor = kind === 'executor'
  return {
    id: toTargetId(`${kind}-${index}`),
    kind,
    address: '',
    state: 'live',
    failureDomain: DOMAIN,
    rack: `rack-${Math.floor(index / targetsPerRack)}`,
    labels: {},
    capacity: isExecutor ? { cores: 0, memoryMb: 0, accelerators: 0 } : capacity,
    slots: isExecutor ? EXECUTOR_SLOTS : 0,
    connections: CONNECTIONS
  }
}

export function buildSiteTargets (site: BenchSite): Target[] {
  return Array.from({ length: site.targetCount }, (_, index) => buildBenchTarget(index, site.targetKind, site.targetsPerRack))
}

export function buildBenchItem (id: string, item: Partial<WorkItem>): WorkItem {
  return {
    requestId: toRequestId(id),
    attempt: 1,
    kind: 'bench',
    customer: 'bench',
    team: 'bench',
    pool: 'bench',
    urgency: 'normal',
    resources: { cores: 0, memoryMb: 0, accelerators: 0 },
    taskCount: 1,
    isIdempotent: true,
    isExclusive: false,
    isResumable: false,
    isService: false,
    runtimeMs: undefined,
    enqueuedAtMs: 0,
    deadlineAtMs: Infinity,
    excludedTargets: [],
    ...item
  }
}
