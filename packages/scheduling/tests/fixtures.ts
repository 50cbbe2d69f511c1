import { type FailureDomain, toFailureDomain, toRequestId, toTargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { ClassPolicy, PoolPolicy } from '../src/pool-policy.js'
import type { Target } from '../src/target.js'
import type { Urgency } from '../src/urgency.js'
import type { WorkItem } from '../src/work-item.js'

export const DOMAIN: FailureDomain = toFailureDomain('nairobi-a')

export function buildClassPolicy (policy: Partial<ClassPolicy> = {}): ClassPolicy {
  return { floorPercent: 0, limitPercent: 100, maxQueueMs: 600_000, ...policy }
}

export function buildPool (pool: Partial<Omit<PoolPolicy, 'classes'>> & { classes?: Partial<Record<Urgency, Partial<ClassPolicy>>> } = {}): PoolPolicy {
  const { classes = {}, ...rest } = pool
  return {
    name: 'pool',
    targetKind: 'worker',
    failureDomains: [],
    racks: [],
    labels: {},
    slotsPerTarget: undefined,
    connectionsPerTarget: undefined,
    teamQuotas: {},
    classes: {
      urgent: buildClassPolicy(classes.urgent),
      high: buildClassPolicy(classes.high),
      normal: buildClassPolicy(classes.normal),
      low: buildClassPolicy(classes.low)
    },
    ...rest
  }
}

export function buildWorker (id: string, target: Partial<Target> = {}): Target {
  return {
    id: toTargetId(id),
    kind: 'worker',
    address: '127.0.0.1:1',
    state: 'live',
    failureDomain: DOMAIN,
    rack: 'rack-1',
    labels: {},
    capacity: { cores: 16, memoryMb: 65_536, accelerators: 0 },
    slots: 0,
    connections: 64,
    ...target
  }
}

export function buildExecutor (id: string, slots = 8, target: Partial<Target> = {}): Target {
  return buildWorker(id, { kind: 'executor', slots, capacity: { cores: 0, memoryMb: 0, accelerators: 0 }, ...target })
}

export function buildItem (id: string, item: Partial<WorkItem> = {}): WorkItem {
  return {
    requestId: toRequestId(id),
    attempt: 1,
    kind: 'reconcile',
    customer: 'club',
    team: 'ledger',
    pool: 'pool',
    urgency: 'normal',
    resources: { cores: 1, memoryMb: 1_024, accelerators: 0 },
    taskCount: 1,
    isIdempotent: true,
    isExclusive: false,
    isResumable: false,
    isService: false,
    runtimeMs: 1_000,
    enqueuedAtMs: 0,
    deadlineAtMs: 600_000,
    excludedTargets: [],
    ...item
  }
}
