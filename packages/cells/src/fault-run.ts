import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { Caller, type CallerRecord } from './caller.js'
import { Cell, readJson } from './cell.js'
import { FaultInjector } from './fault-injector.js'
import { drawFaultPlan, type CellFault } from './fault-plan.js'
import { checkHistory, type Violation } from './history-checker.js'
import { FAULT_RUN_POOLS, FAULT_RUN_ROUTES } from './fault-run-tables.js'

export interface FaultRunResult {
  readonly seed: number
  readonly plan: readonly CellFault[]
  readonly violations: readonly Violation[]
  readonly outcomes: Readonly<Record<string, number>>
  readonly records: readonly CallerRecord[]
  readonly logDirectory: string
}

const FAILURE_DOMAINS = ['bilbao', 'oviedo']
/** 16 partitions, and in each failure domain one shard of executors and one of workers. */
const UNIT_COUNT = 16 + 2 * FAILURE_DOMAINS.length
const SEND_DURATION_MS = 6000
const SEND_PERIOD_MS = 40
const UNKNOWN_OUTCOME_TIMEOUT_MS = 20_000
const REVISION_POLL_PERIOD_MS = 250
/** During the drain grace period, a planned stop still accepts new requests. */
const INSTANCE_FLAGS = ['--drain-grace-ms', '500', '--drain-timeout-ms', '40000', '--log-level', 'info']
/** On average one in this many worker tasks runs longer than a takeover takes, so that the new owner must count its reserved capacity. */
const LONG_TASK_RATIO = 6
const LONG_TASK = { standIn: { runMs: 7000 } }
const WORKER_KINDS: ReadonlySet<string> = new Set(['sanitation', 'reconciliation'])
const REQUEST_KINDS = ['enquiry', 'posting', 'reorder', 'sanitation', 'reconciliation'] as const

/** Runs a small cell under the faults of a plan, by default one drawn from the seed, and checks its history against all invariants. */
export async function runFaults (seed: number, plan?: readonly CellFault[]): Promise<FaultRunResult> {
  const random = new SeededRandomSource(seed)
  const cell = new Cell({
    instances: 4,
    failureDomains: FAILURE_DOMAINS,
    seed,
    instanceFlags: INSTANCE_FLAGS,
    groups: [
      { kind: 'executor', idPrefix: 'executor', count: 8, failureDomains: FAILURE_DOMAINS, rackSize: 2, serviceMs: ['default=30:0.5'] },
      { kind: 'worker', idPrefix: 'worker', count: 6, failureDomains: FAILURE_DOMAINS, rackSize: 2, serviceMs: ['default=800:0.5'] }
    ]
  })
  try {
    await cell.start()
    return await runPlanInCell(cell, seed, random, plan ?? drawFaultPlan(seed, random, SEND_DURATION_MS))
  } finally {
    await cell.stop()
  }
}

async function runPlanInCell (
  cell: Cell, seed: number, random: SeededRandomSource, plan: readonly CellFault[]
): Promise<FaultRunResult> {
  const tables = { routes: FAULT_RUN_ROUTES, pools: FAULT_RUN_POOLS }
  const revision = await cell.applyTables(tables)
  await cell.waitForOwners(UNIT_COUNT)
  const injector = new FaultInjector(cell, tables)
  injector.log.acceptedRevisions.push({ revision, atMs: Date.now() })
  const caller = new Caller(() => cell.instances.filter(({ process }) => process.isRunning()))
  const revisionReadings: Array<{ instance: string, revision: number, atMs: number }> = []
  const pollTimer = setInterval(() => { void pollRevisions(cell, revisionReadings) }, REVISION_POLL_PERIOD_MS)
  await Promise.all([injector.runPlan(plan), sendRequests(caller, seed, random)])
  await caller.resolveUnknownOutcomes(UNKNOWN_OUTCOME_TIMEOUT_MS)
  clearInterval(pollTimer)
  const { records: taskRecords, violations: taskViolations } = await cell.readTaskRecords()
  const runs = await cell.readExecutorRuns()
  await caller.close()
  const violations = checkHistory({
    ...injector.log,
    requests: caller.records,
    runs,
    taskRecords,
    taskViolations,
    workerCapacity: { cores: 16, memoryMb: 65_536, accelerators: 0 },
    exclusiveKinds: new Set(['sanitation', 'reconciliation']),
    nonIdempotentKinds: new Set(['posting', 'sanitation']),
    revisionReadings
  })
  const lostUpdates = injector.log.lostUpdates.map((detail): Violation => ({ invariant: 'I8', subject: 'tables', detail }))
  return {
    seed,
    plan,
    violations: [...violations, ...lostUpdates],
    outcomes: countOutcomes(caller),
    records: caller.records,
    logDirectory: cell.logDirectory
  }
}

/** Sends requests of random kinds at a fixed rate, independent of the responses, and waits for all outcomes. */
async function sendRequests (caller: Caller, seed: number, random: SeededRandomSource): Promise<void> {
  const sent: Array<Promise<unknown>> = []
  for (let index = 0; index * SEND_PERIOD_MS < SEND_DURATION_MS; index++) {
    const kind = REQUEST_KINDS[random.drawInteger(REQUEST_KINDS.length)] ?? 'enquiry'
    const key = kind === 'enquiry' ? undefined : `${seed}-${index}`
    const isLong = random.drawInteger(LONG_TASK_RATIO) === 0
    const payload = { number: index, text: random.drawHex(16), ...(isLong && WORKER_KINDS.has(kind) ? LONG_TASK : {}) }
    sent.push(caller.send(kind, 'descanso', payload, key))
    await new Promise<void>((resolve) => { setTimeout(resolve, SEND_PERIOD_MS) })
  }
  await Promise.all(sent)
}

async function pollRevisions (cell: Cell, revisionReadings: Array<{ instance: string, revision: number, atMs: number }>): Promise<void> {
  await Promise.all(cell.instances.filter(({ process }) => process.isRunning()).map(async ({ id, origin }) => {
    const atMs = Date.now()
    const tables = await readJson(`${origin}/v1/tables`) as { revision?: number } | undefined
    // A slow response may have been produced at any time since the request, so its revision can't be ordered among the others.
    const isFresh = Date.now() - atMs < REVISION_POLL_PERIOD_MS
    if (tables?.revision !== undefined && isFresh) revisionReadings.push({ instance: id, revision: tables.revision, atMs })
  }))
}

function countOutcomes (caller: Caller): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { outcome } of caller.records) counts[outcome ?? 'none'] = (counts[outcome ?? 'none'] ?? 0) + 1
  return counts
}
