import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { PoolShardScheduler } from '../pool-shard-scheduler.js'
import { addResources, NO_RESOURCES, type Resources, subtractResources } from '../resources.js'
import type { Target } from '../target.js'
import type { WorkItem } from '../work-item.js'
import { buildBenchItem, buildBenchPool, buildBenchTarget } from './bench-builders.js'
import type { BenchScheduler } from './bench-scheduler.js'
import { FifoFirstFitScheduler } from './fifo-first-fit-scheduler.js'
import type { TableRow } from './text-table.js'
import { VirtualEventLoop } from './virtual-event-loop.js'

export const PACKING_COLUMNS = ['workers', 'sizes', 'scheduler', 'workers per lower bound', 'cores in use %', 'memory in use %', 'starts']

const WARM_UP_MS = 60_000
const MEASURE_MS = 120_000
const TICK_MS = 100
const MEAN_RUNTIME_MS = 20_000
/** Queued items for each worker, which keep the pool saturated. */
const BACKLOG_PER_WORKER = 4

/** Task sizes as [cores, memory in GB]. */
type SizeMix = ReadonlyArray<readonly [number, number]>

const SIZE_MIXES: Readonly<Record<string, SizeMix>> = {
  mixed: [[1, 2], [2, 16], [4, 8], [8, 16], [1, 8], [3, 24], [6, 12], [2, 4]],
  large: [[5, 20], [7, 16], [9, 40], [3, 30], [6, 10], [11, 24]],
  small: [[0.5, 1], [1, 4], [0.25, 3], [2, 2], [1.5, 8]]
}

interface PackingResult {
  readonly workersPerLowerBound: number
  readonly cores: number
  readonly memory: number
  readonly starts: number
}

/** Keeps a pool saturated and measures the number of workers against the lower bound for the running tasks. */
function runPacking (scheduler: BenchScheduler, targets: readonly Target[], sizes: SizeMix, seed: number): PackingResult {
  const loop = new VirtualEventLoop()
  const random = new SeededRandomSource(seed)
  const total = targets.reduce((sum, target) => addResources(sum, target.capacity), NO_RESOURCES)
  const perWorker: Resources = { cores: total.cores / targets.length, memoryMb: total.memoryMb / targets.length, accelerators: 0 }
  let running = NO_RESOURCES
  let queued = 0
  let nextId = 0
  let starts = 0
  const sums = { ratio: 0, cores: 0, memory: 0, samples: 0 }
  const runtimes = new Map<RequestId, number>()

  const fillQueue = (): void => {
    while (queued < targets.length * BACKLOG_PER_WORKER) {
      const [cores, memoryGb] = sizes[random.drawInteger(sizes.length)] ?? [1, 1]
      const runtimeMs = MEAN_RUNTIME_MS * (0.5 + random.drawFraction())
      const item = buildBenchItem(`r${nextId++}`, {
        kind: `size-${cores}-${memoryGb}`, resources: { cores, memoryMb: memoryGb * 1_024, accelerators: 0 }, enqueuedAtMs: loop.nowMs, deadlineAtMs: loop.nowMs + 3_600_000
      })
      if (!scheduler.admit(item, loop.nowMs).isAdmitted) break
      runtimes.set(item.requestId, runtimeMs)
      queued++
    }
  }
  const finish = (item: WorkItem): void => {
    running = subtractResources(running, item.resources)
    scheduler.releaseTask(item.requestId, 0, 'succeeded', loop.nowMs)
  }
  const tick = (): void => {
    fillQueue()
    for (const decision of scheduler.schedule(loop.nowMs, 100_000)) {
      if (decision.type === 'preempt') continue
      queued--
      if (decision.type === 'expire') continue
      const { item } = decision
      starts++
      running = addResources(running, item.resources)
      loop.schedule(loop.nowMs + (runtimes.get(item.requestId) ?? 1), () => { finish(item) })
    }
    if (loop.nowMs < WARM_UP_MS) return
    const lowerBound = Math.max(running.cores / perWorker.cores, running.memoryMb / perWorker.memoryMb)
    sums.ratio += targets.length / lowerBound
    sums.cores += running.cores / total.cores
    sums.memory += running.memoryMb / total.memoryMb
    sums.samples++
  }
  for (let atMs = 0; atMs < WARM_UP_MS + MEASURE_MS; atMs += TICK_MS) loop.schedule(atMs, tick)
  loop.run(WARM_UP_MS + MEASURE_MS)
  return { workersPerLowerBound: sums.ratio / sums.samples, cores: sums.cores / sums.samples, memory: sums.memory / sums.samples, starts }
}

function buildScheduler (targets: readonly Target[]): BenchScheduler {
  const scheduler = new PoolShardScheduler()
  const pool = buildBenchPool('bench', 'worker')
  const open = { floorPercent: 0, limitPercent: 100, maxQueueMs: 3_600_000 }
  scheduler.applyPools([{ ...pool, classes: { urgent: open, high: open, normal: open, low: open } }], 0)
  scheduler.applyTargets(targets, 0)
  return scheduler
}

/** Measures packing at saturation for the scheduler and for first fit in order of arrival. */
export function measurePacking (seed: number): TableRow[] {
  const rows: TableRow[] = []
  for (const [count, perRack] of [[33, 8], [32, 6], [320, 8]] as const) {
    const targets = Array.from({ length: count }, (_, index) => buildBenchTarget(index, 'worker', perRack))
    for (const [name, sizes] of Object.entries(SIZE_MIXES)) {
      for (const [label, scheduler] of [['core', buildScheduler(targets)], ['fifo first fit', new FifoFirstFitScheduler(targets)]] as const) {
        const result = runPacking(scheduler, targets, sizes, seed)
        rows.push([
          String(count), name, label, result.workersPerLowerBound.toFixed(3),
          (100 * result.cores).toFixed(1), (100 * result.memory).toFixed(1), String(result.starts)
        ])
      }
    }
  }
  return rows
}
