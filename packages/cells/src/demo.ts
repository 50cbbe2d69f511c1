import { readFileSync } from 'node:fs'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { cac } from 'cac'
import { Caller } from './caller.js'
import { Cell, type TargetGroup } from './cell.js'
import { formatKindTable } from './demo-report.js'
import { checkHistory } from './history-checker.js'

const HARAMBEE_FAILURE_DOMAINS = ['nairobi-a', 'nairobi-b', 'nairobi-c']
const DESCANSO_FAILURE_DOMAINS = ['bilbao', 'santander', 'oviedo', 'a-coruna']
/** 16 partitions, and in each failure domain one shard of executors and one of workers. */
const UNIT_COUNT = 16 + 2 * (HARAMBEE_FAILURE_DOMAINS.length + DESCANSO_FAILURE_DOMAINS.length)
const WORKER_CAPACITY = { cores: 16, memoryMb: 65_536, accelerators: 0 }
const PROGRESS_PERIOD_MS = 1000
const UNKNOWN_OUTCOME_TIMEOUT_MS = 20_000

/** Groups of targets. Service times are log-normal: `kind=median in ms:standard deviation of the logarithm`. */
const GROUPS: readonly TargetGroup[] = [
  { kind: 'executor', idPrefix: 'h-executor', count: 33, failureDomains: HARAMBEE_FAILURE_DOMAINS, rackSize: 8, serviceMs: ['balance-enquiry=20:0.3', 'dues-posting=50:0.3'] },
  { kind: 'worker', idPrefix: 'h-worker', count: 33, failureDomains: HARAMBEE_FAILURE_DOMAINS, rackSize: 8, serviceMs: ['reconciliation=800:0.5'] },
  { kind: 'executor', idPrefix: 'd-executor', count: 32, failureDomains: DESCANSO_FAILURE_DOMAINS, rackSize: 6, serviceMs: ['readiness-check=20:0.3', 'supply-reorder=100:0.5'] },
  { kind: 'worker', idPrefix: 'd-worker', count: 32, failureDomains: DESCANSO_FAILURE_DOMAINS, rackSize: 6, serviceMs: ['deep-sanitation=600:0.5'] }
]

/** Request kinds with their relative frequency. Requests of an `isKeyed` kind carry an idempotency key. */
const REQUEST_KINDS = [
  { kind: 'balance-enquiry', customer: 'harambee', weight: 6, isKeyed: false },
  { kind: 'dues-posting', customer: 'harambee', weight: 5, isKeyed: true },
  { kind: 'reconciliation', customer: 'harambee', weight: 2, isKeyed: true },
  { kind: 'readiness-check', customer: 'descanso', weight: 6, isKeyed: false },
  { kind: 'deep-sanitation', customer: 'descanso', weight: 2, isKeyed: true },
  { kind: 'supply-reorder', customer: 'descanso', weight: 4, isKeyed: true }
] as const

const command = cac('demo')
command.option('--requests <n>', 'Total number of requests', { default: 400 })
command.option('--instances <n>', 'Number of instances of hibiscusledge', { default: 4 })
command.option('--seed <n>', 'Random seed for requests, payloads and service times', { default: 1 })
command.option('--kill-one', 'Kill one instance after half of the requests')
command.option('--keep', 'Keep the cluster running after the last request until Ctrl-C')
command.help()
const { options } = command.parse()
if (options.help !== true) process.exitCode = await runDemo()

async function runDemo (): Promise<number> {
  const cell = new Cell({
    groups: GROUPS,
    instances: Number(options.instances),
    failureDomains: [...HARAMBEE_FAILURE_DOMAINS, ...DESCANSO_FAILURE_DOMAINS],
    seed: Number(options.seed),
    instanceFlags: ['--log-level', 'info']
  })
  process.once('SIGTERM', () => { void cell.stop().then(() => process.exit(1)) })
  try {
    return await runCell(cell)
  } finally {
    await cell.stop()
  }
}

async function runCell (cell: Cell): Promise<number> {
  process.stdout.write('starting the store, targets and instances as separate processes\n')
  await cell.start()
  const readExampleTable = (name: string): string => readFileSync(new URL(`../../../../examples/combined/${name}.csv`, import.meta.url), 'utf8')
  const revision = await cell.applyTables({ routes: readExampleTable('routes'), pools: readExampleTable('pools') })
  await cell.waitForOwners(UNIT_COUNT)
  process.stdout.write(`tables applied at revision ${revision}; logs in ${cell.logDirectory}\n`)
  for (const { id, process: { pid }, origin } of cell.instances) process.stdout.write(`  ${id}: pid ${pid}, ${origin}\n`)

  const caller = new Caller(() => cell.instances.filter((instance) => instance.process.isRunning()))
  await sendRequests(cell, caller)
  await caller.resolveUnknownOutcomes(UNKNOWN_OUTCOME_TIMEOUT_MS)

  const { records: taskRecords, violations: taskViolations } = await cell.readTaskRecords()
  const runs = await cell.readExecutorRuns()
  const violations = checkHistory({
    requests: caller.records,
    runs,
    taskRecords,
    taskViolations,
    workerCapacity: WORKER_CAPACITY,
    exclusiveKinds: new Set(['reconciliation', 'deep-sanitation']),
    nonIdempotentKinds: new Set(['dues-posting', 'deep-sanitation']),
    leavingTargets: [],
    plannedStops: [],
    acceptedRevisions: [],
    revisionReadings: []
  })
  process.stdout.write(`\n${formatKindTable(caller.records, runs, taskRecords)}\n`)
  for (const { invariant, subject, detail } of violations) process.stdout.write(`violation of ${invariant}: ${subject}: ${detail}\n`)
  const unresolved = caller.records.filter(({ outcome }) => outcome === 'unknown' && options.killOne !== true)
  for (const { kind, requestId, reason } of unresolved) process.stdout.write(`unknown outcome although no fault was injected: ${kind} ${requestId ?? ''}: ${reason ?? ''}\n`)
  process.stdout.write(violations.length === 0 ? 'no violations: the reported outcomes agree with the recorded runs\n' : `${violations.length} violations\n`)
  await caller.close()
  if (options.keep === true) {
    process.stdout.write(`the cluster keeps running until Ctrl-C; store admin API at ${cell.readAdminUrl('store')}\n`)
    await new Promise<void>((resolve) => { process.once('SIGINT', () => { resolve() }) })
  }
  return violations.length === 0 && unresolved.length === 0 ? 0 : 1
}

async function sendRequests (cell: Cell, caller: Caller): Promise<void> {
  const random = new SeededRandomSource(Number(options.seed))
  const total = Number(options.requests)
  const weightedKinds = REQUEST_KINDS.flatMap((requestKind) => Array.from({ length: requestKind.weight }, () => requestKind))
  const progressTimer = setInterval(() => { printProgress(caller, total) }, PROGRESS_PERIOD_MS)
  const sent: Array<Promise<unknown>> = []
  for (let index = 0; index < total; index++) {
    const { kind, customer, isKeyed } = weightedKinds[random.drawInteger(weightedKinds.length)] ?? REQUEST_KINDS[0]
    const key = isKeyed ? `demo-${options.seed}-${index}` : undefined
    sent.push(caller.send(kind, customer, { number: index, text: random.drawHex(8) }, key))
    if (index === Math.floor(total / 2) && options.killOne === true) {
      const killedInstance = cell.instances[1]
      process.stdout.write(`\nkilling ${killedInstance?.id ?? ''}\n`)
      killedInstance?.process.sendSignal('SIGKILL')
    }
    await new Promise<void>((resolve) => { setTimeout(resolve, 10) })
  }
  await Promise.all(sent)
  clearInterval(progressTimer)
  printProgress(caller, total)
}

function printProgress (caller: Caller, total: number): void {
  const answered = caller.records.filter(({ outcome }) => outcome !== undefined).length
  process.stdout.write(`\r${answered} of ${total} answered`)
}
