import { build } from 'hdr-histogram-js'
import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import type { RunResult } from '../decision.js'
import { PoolShardScheduler } from '../pool-shard-scheduler.js'
import type { Resources } from '../resources.js'
import type { Target } from '../target.js'
import { URGENCIES } from '../urgency.js'
import type { WorkItem } from '../work-item.js'
import { buildBenchItem, buildBenchPool, buildBenchTarget } from './bench-builders.js'
import type { TableRow } from './text-table.js'
import { VirtualEventLoop } from './virtual-event-loop.js'

export const DECISION_COLUMNS = ['workers', 'phase', 'running', 'starts', 'decision p50 us', 'decision p99 us', 'decision max us', 'placements/s', 'heap MB']

const WORKER_COUNTS = [33, 300, 1_200, 2_400, 4_800]
const DESIGN_WORKERS = 4_800
const DESIGN_RUNNING = 20_000
const TEAM_COUNT = 63
const SERVICE_SHARE = 0.2
const STEADY_STARTS_PER_S = 500
const BURST_STARTS_PER_S = 5_000
const STEADY_MS = 10_000
const BURST_MS = 2_000
/** With fewer decisions, single pauses of the machine would determine the 99th percentile. */
const MIN_DECISIONS = 2_000
const CHECKPOINT_MS = 400
const BYTES_PER_MB = 1_048_576
/** Five of twelve workers have six accelerators: 12,000 on 4,800 workers. */
const ACCELERATOR_PERIOD = 12
const ACCELERATOR_WORKERS = 5
const ACCELERATORS_PER_WORKER = 6

function buildTargets (count: number): Target[] {
  return Array.from({ length: count }, (_, index) => {
    const accelerators = index % ACCELERATOR_PERIOD < ACCELERATOR_WORKERS ? ACCELERATORS_PER_WORKER : 0
    return buildBenchTarget(index, 'worker', 8, { cores: 16, memoryMb: 65_536, accelerators })
  })
}

function drawSize (random: SeededRandomSource): Resources {
  const accelerators = random.drawFraction() < 0.2 ? 1 + random.drawInteger(2) : 0
  return { cores: 1 + random.drawInteger(4), memoryMb: 1_024 * (1 + random.drawInteger(12)), accelerators }
}

/** Runs one scheduler in virtual time and measures the real time of each admit and schedule pair and of each release. */
class DecisionRun {
  readonly #loop = new VirtualEventLoop()
  readonly #scheduler = new PoolShardScheduler()
  readonly #random: SeededRandomSource
  readonly #readTimeMs: () => number
  #histogram = build({ numberOfSignificantValueDigits: 3 })
  #schedulerMs = 0
  #starts = 0
  #nextId = 0
  #isFilling = false
  readonly #runningTasks = new Set<string>()

  constructor (workerCount: number, seed: number, readTimeMs: () => number) {
    this.#random = new SeededRandomSource(seed)
    this.#readTimeMs = readTimeMs
    const quotas = Object.fromEntries(Array.from({ length: TEAM_COUNT }, (_, index) => [`team-${index}`, 5 + index % 20]))
    const open = { floorPercent: 5, limitPercent: 100, maxQueueMs: 600_000 }
    const pool = { ...buildBenchPool('bench', 'worker', quotas), classes: { urgent: open, high: open, normal: open, low: open } }
    this.#scheduler.applyPools([pool], 0)
    this.#scheduler.applyTargets(buildTargets(workerCount), 0)
  }

  /** Submits work until `count` tasks run. */
  fill (count: number, meanRuntimeMs: number): void {
    this.#isFilling = true
    while (this.#runningTasks.size < count) this.#submit(meanRuntimeMs)
    this.#isFilling = false
  }

  run (
    phase: string, workerCount: number, startsPerSecond: number, durationMs: number, meanRuntimeMs: number, readHeapBytes: () => number
  ): TableRow {
    this.#histogram = build({ numberOfSignificantValueDigits: 3 })
    this.#schedulerMs = 0
    this.#starts = 0
    const gapMs = 1_000 / startsPerSecond
    const endMs = this.#loop.nowMs + Math.max(durationMs, MIN_DECISIONS * gapMs)
    const arrive = (): void => {
      this.#submit(meanRuntimeMs)
      if (this.#loop.nowMs + gapMs < endMs) this.#loop.schedule(this.#loop.nowMs + gapMs, arrive)
    }
    this.#loop.schedule(this.#loop.nowMs, arrive)
    this.#loop.run(endMs)
    const readUs = (percentile: number): string => (this.#histogram.getValueAtPercentile(percentile) / 1_000).toFixed(0)
    return [
      String(workerCount), phase, String(this.#runningTasks.size), String(this.#starts), readUs(50), readUs(99),
      (this.#histogram.maxValue / 1_000).toFixed(0), (1_000 * this.#starts / this.#schedulerMs).toFixed(0),
      (readHeapBytes() / BYTES_PER_MB).toFixed(0)
    ]
  }

  #submit (meanRuntimeMs: number): void {
    const { nowMs } = this.#loop
    const isService = this.#random.drawFraction() < SERVICE_SHARE * 0.1
    const item = buildBenchItem(`r${this.#nextId++}`, {
      kind: `kind-${this.#random.drawInteger(40)}`,
      team: `team-${this.#random.drawInteger(TEAM_COUNT)}`,
      customer: `customer-${this.#random.drawInteger(200)}`,
      urgency: URGENCIES[this.#random.drawInteger(URGENCIES.length)] ?? 'normal',
      resources: drawSize(this.#random),
      taskCount: this.#random.drawFraction() < 0.01 ? 8 : 1,
      runtimeMs: meanRuntimeMs,
      isService,
      isResumable: true,
      enqueuedAtMs: nowMs,
      deadlineAtMs: nowMs + 600_000
    })
    const startedMs = this.#readTimeMs()
    this.#scheduler.admit(item, nowMs)
    const decisions = this.#scheduler.schedule(nowMs, 100)
    const elapsedMs = this.#readTimeMs() - startedMs
    this.#schedulerMs += elapsedMs
    this.#histogram.recordValue(Math.round(elapsedMs * 1_000_000))
    for (const decision of decisions) {
      if (decision.type === 'preempt') this.#loop.schedule(nowMs + CHECKPOINT_MS, () => { this.#release(decision.requestId, 0, 'refused') })
      if (decision.type !== 'start') continue
      for (let taskIndex = 0; taskIndex < decision.item.taskCount; taskIndex++) this.#startTask(decision.item, taskIndex, meanRuntimeMs)
    }
  }

  #startTask (item: WorkItem, taskIndex: number, meanRuntimeMs: number): void {
    this.#starts++
    this.#runningTasks.add(`${item.requestId}/${taskIndex}`)
    if (item.isService) return
    // Tasks that already run when the measurement starts have only a part of their run time left.
    const leastShare = this.#isFilling ? 0 : 0.5
    this.#loop.schedule(this.#loop.nowMs + meanRuntimeMs * (leastShare + this.#random.drawFraction()), () => {
      this.#release(item.requestId, taskIndex, 'succeeded')
    })
  }

  /** Ends one task, unless it has already ended. */
  #release (requestId: RequestId, taskIndex: number, result: RunResult): void {
    if (!this.#runningTasks.delete(`${requestId}/${taskIndex}`)) return
    const startedMs = this.#readTimeMs()
    this.#scheduler.releaseTask(requestId, taskIndex, result, this.#loop.nowMs)
    this.#schedulerMs += this.#readTimeMs() - startedMs
  }
}

/** Measures the real time of decisions from a small site to the design size. The load grows with the number of workers. */
export function measureDecisions (seed: number, readTimeMs: () => number, readHeapBytes: () => number): TableRow[] {
  const rows: TableRow[] = []
  // Runs the code until it is compiled, which would otherwise slow down only the smallest size.
  const warmUp = new DecisionRun(300, seed, readTimeMs)
  warmUp.fill(1_250, 60_000)
  warmUp.run('warm-up', 300, STEADY_STARTS_PER_S, 5_000, 2_500, readHeapBytes)
  for (const count of WORKER_COUNTS) {
    const scale = count / DESIGN_WORKERS
    const run = new DecisionRun(count, seed, readTimeMs)
    const running = Math.round(DESIGN_RUNNING * scale)
    const meanRuntimeMs = 1_000 * running / (STEADY_STARTS_PER_S * scale)
    run.fill(running, meanRuntimeMs)
    rows.push(run.run('500/s', count, STEADY_STARTS_PER_S * scale, STEADY_MS, meanRuntimeMs, readHeapBytes))
    rows.push(run.run('5,000/s burst', count, BURST_STARTS_PER_S * scale, BURST_MS, meanRuntimeMs, readHeapBytes))
  }
  return rows
}
