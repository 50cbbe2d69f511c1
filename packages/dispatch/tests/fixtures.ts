import { toFailureDomain, toRequestId, toTargetId, toUnitId, type RequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { PoolPolicy } from '@hibiscusledge/scheduling/pool-policy.js'
import { NO_RESOURCES } from '@hibiscusledge/scheduling/resources.js'
import type { Target, TargetKind } from '@hibiscusledge/scheduling/target.js'
import type { Route } from '@hibiscusledge/tables/route.js'
import type { TableSet } from '@hibiscusledge/tables/table-set.js'
import type { SubmitMessage } from '../src/dispatch-messages.js'
import type { IntentEntry, LedgerEntry, OutcomeEntry, RequestFacts, WorkSpec } from '../src/ledger-entry.js'
import type { RequestOutcome } from '../src/request-outcome.js'

export const PARTITION = toUnitId('partition/00')
export const SHARD = toUnitId('executor/a')
export const SHARD_B = toUnitId('executor/b')
const WALL_START_MS = 1_700_000_000_000

export function buildRequestId (index: number): RequestId {
  return toRequestId(`00-${index.toString(16).padStart(32, '0')}`)
}

export function buildFacts (index: number, kind = 'enquiry', payload: unknown = { index }): RequestFacts {
  return { requestId: buildRequestId(index), fingerprint: JSON.stringify(payload), kind, customer: 'harambee', team: '', payload }
}

export function buildSubmit (facts: RequestFacts, message: Partial<SubmitMessage> = {}): SubmitMessage {
  return { facts, isKeyed: true, isWaiting: true, remainingMs: 10_000, ...message }
}

export function buildWorkSpec (work: Partial<WorkSpec> = {}): WorkSpec {
  return {
    pool: 'executors',
    urgency: 'high',
    resources: NO_RESOURCES,
    taskCount: 1,
    isIdempotent: true,
    isExclusive: false,
    isResumable: false,
    isService: false,
    ...work
  }
}

export function buildIntent (index: number, attempt = 1, entry: Partial<IntentEntry> = {}): IntentEntry {
  const { payload: _payload, ...facts } = buildFacts(index, 'posting')
  return {
    type: 'intent',
    facts,
    work: buildWorkSpec({ isIdempotent: false }),
    attempt,
    unit: SHARD,
    epoch: 1,
    targets: [toTargetId('a-0')],
    deadlineWallMs: WALL_START_MS + 10_000,
    recordedWallMs: WALL_START_MS,
    ...entry
  }
}

export function buildAccepted (index: number, payload: unknown = { index }, kind = 'posting'): LedgerEntry {
  return { type: 'accepted', facts: buildFacts(index, kind, payload), deadlineWallMs: WALL_START_MS + 10_000 }
}

export function buildOutcomeEntry (index: number, outcome: RequestOutcome, endedWallMs = WALL_START_MS): OutcomeEntry {
  const { requestId, fingerprint } = buildFacts(index)
  return { type: 'outcome', requestId, fingerprint, outcome, isCancelled: false, endedWallMs }
}

function buildRoute (kind: string, route: Partial<Route>): Route {
  return {
    kind,
    customer: '',
    team: '',
    ...buildWorkSpec(),
    runtimeMs: undefined,
    deadlineMs: 10_000,
    retryLimit: 2,
    ...route
  }
}

function buildPool (name: string, targetKind: TargetKind): PoolPolicy {
  const policy = { floorPercent: 0, limitPercent: 100, maxQueueMs: 600_000 }
  return {
    name,
    targetKind,
    failureDomains: [],
    racks: [],
    labels: {},
    slotsPerTarget: undefined,
    connectionsPerTarget: undefined,
    teamQuotas: {},
    classes: { urgent: policy, high: policy, normal: policy, low: policy }
  }
}

/** Kinds: `enquiry` is idempotent, `posting` is non-idempotent, `plan` is an exclusive and `task` an idempotent worker task. */
export function buildTables (): TableSet {
  const task = { pool: 'workers', resources: { cores: 1, memoryMb: 1, accelerators: 0 } }
  return {
    revision: 1,
    hash: '',
    texts: { routes: '', pools: '' },
    routes: [
      buildRoute('enquiry', {}),
      buildRoute('posting', { isIdempotent: false }),
      buildRoute('plan', { ...task, isExclusive: true }),
      buildRoute('task', task)
    ],
    pools: [buildPool('executors', 'executor'), buildPool('workers', 'worker')]
  }
}

export function buildTarget (id: string, kind: TargetKind = 'executor', slots = 2): Target {
  const capacity = kind === 'worker' ? { cores: 4, memoryMb: 64, accelerators: 0 } : NO_RESOURCES
  return {
    id: toTargetId(id),
    kind,
    address: '127.0.0.1:1',
    state: 'live',
    failureDomain: toFailureDomain('a'),
    rack: 'r',
    labels: {},
    capacity,
    slots: kind === 'worker' ? 0 : slots,
    connections: 8
  }
}
