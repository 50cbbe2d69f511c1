import type { RequestId, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { Admission, Decision } from '../decision.js'
import { addResources, isFitting, type Resources, subtractResources } from '../resources.js'
import type { Target } from '../target.js'
import type { WorkItem } from '../work-item.js'
import type { BenchScheduler } from './bench-scheduler.js'

interface TargetUse {
  readonly target: Target
  free: Resources
  freeSlots: number
}

/** Served items at the front of the queue after which they are removed. */
const COMPACT_AFTER = 10_000

/** Baseline scheduler that admits everything, serves one queue in order of arrival and uses the first target that fits. */
export class FifoFirstFitScheduler implements BenchScheduler {
  readonly #uses: TargetUse[]
  readonly #running = new Map<RequestId, { item: WorkItem, use: TargetUse }>()
  #queue: WorkItem[] = []
  #head = 0

  constructor (targets: readonly Target[]) {
    this.#uses = targets.map((target) => ({ target, free: target.capacity, freeSlots: target.slots }))
  }

  admit (item: WorkItem, _nowMs: number): Admission {
    this.#queue.push(item)
    return { isAdmitted: true, estimatedWaitMs: 0 }
  }

  schedule (nowMs: number, maxDecisions: number): readonly Decision[] {
    const decisions: Decision[] = []
    while (decisions.length < maxDecisions) {
      const item = this.#queue[this.#head]
      if (item === undefined) break
      if (item.deadlineAtMs <= nowMs) {
        decisions.push({ type: 'expire', item })
      } else {
        const targetId = this.#place(item)
        if (targetId === undefined) break
        decisions.push({ type: 'start', item, targets: [targetId], isProbe: false })
      }
      this.#head++
    }
    if (this.#head > COMPACT_AFTER) {
      this.#queue = this.#queue.slice(this.#head)
      this.#head = 0
    }
    return decisions
  }

  releaseTask (requestId: RequestId): void {
    const running = this.#running.get(requestId)
    if (running === undefined) return
    this.#running.delete(requestId)
    running.use.free = addResources(running.use.free, running.item.resources)
    running.use.freeSlots++
  }

  #place (item: WorkItem): TargetId | undefined {
    const use = this.#uses.find((candidate) => candidate.target.kind === 'executor' ? candidate.freeSlots > 0 : isFitting(item.resources, candidate.free))
    if (use === undefined) return undefined
    use.free = subtractResources(use.free, item.resources)
    use.freeSlots--
    this.#running.set(item.requestId, { item, use })
    return use.target.id
  }
}
