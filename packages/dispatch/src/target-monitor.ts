import type { Timer } from '@hibiscusledge/runtime/clock.js'
import { toRequestId, type TargetId } from '@hibiscusledge/runtime/identifiers.js'
import { NO_RESOURCES } from '@hibiscusledge/scheduling/resources.js'
import type { ShardScheduler } from '@hibiscusledge/scheduling/shard-scheduler.js'
import type { Target } from '@hibiscusledge/scheduling/target.js'
import type { DispatchContext } from './dispatch-context.js'
import { DISPATCH_EVENTS } from './dispatch-events.js'
import type { InheritedRuns } from './inherited-runs.js'
import type { TargetAddress, TargetClient, TargetProgress } from './target-client.js'

const TICK_PERIOD_MS = 500
/** Poll period of each target. Longer for a shard whose targets exceed the rate limit below. */
const POLL_PERIOD_MS = 2000
/** Limits the control traffic of a large shard. */
const POLLS_PER_TICK_MAX = 25
const LEAVING_SUSPENSION_MS = 10_000

interface KnownTarget {
  address: TargetAddress
  nextPollAtMs: number
}

/** Polls the progress counters of targets, and keeps the addresses of targets that are no longer listed. */
export class TargetMonitor {
  readonly #context: DispatchContext
  readonly #scheduler: ShardScheduler
  readonly #client: TargetClient
  readonly #listTargets: () => Iterable<Target>
  readonly #known = new Map<TargetId, KnownTarget>()
  readonly #timer: Timer
  #lastPolled: TargetId | undefined

  constructor (context: DispatchContext, scheduler: ShardScheduler, client: TargetClient, listTargets: () => Iterable<Target>) {
    this.#context = context
    this.#scheduler = scheduler
    this.#client = client
    this.#listTargets = listTargets
    this.#timer = context.clock.startInterval(TICK_PERIOD_MS, () => { this.#pollDueTargets() })
  }

  stop (): void {
    this.#timer.cancel()
  }

  /** Finds the last address of a target, to track work that was sent before the target was removed from the list. */
  findFormerTarget (targetId: TargetId): TargetAddress | undefined {
    return this.#known.get(targetId)?.address
  }

  /** Counts the runs of executors that the ledger does not know, so that a new owner does not exceed the executors' slots. */
  async countInheritedRuns (inheritedRuns: InheritedRuns, knownRuns: ReadonlyMap<TargetId, number>): Promise<void> {
    await Promise.all([...this.#listTargets()].map(async (target) => {
      const progress = await this.#client.readProgress(target)
      const excess = (progress?.running ?? 0) - (knownRuns.get(target.id) ?? 0)
      for (let index = 0; index < excess; index++) inheritedRuns.add(0, this.#buildInheritedRun(target, index))
    }))
  }

  #pollDueTargets (): void {
    const nowMs = this.#context.clock.readMonotonicMs()
    let polls = 0
    for (const target of this.#listFromCursor()) {
      const known = this.#known.get(target.id) ?? { address: target, nextPollAtMs: nowMs }
      known.address = target
      this.#known.set(target.id, known)
      if (known.nextPollAtMs > nowMs || polls >= POLLS_PER_TICK_MAX) continue
      this.#lastPolled = target.id
      known.nextPollAtMs = nowMs + POLL_PERIOD_MS
      polls++
      void this.#client.readProgress(target).then((progress) => { this.#applyProgress(target.id, progress) })
    }
  }

  /** Lists all targets, beginning after the one polled last, so that a limited number of polls reaches all of a long list. */
  #listFromCursor (): Target[] {
    const targets = [...this.#listTargets()]
    const start = targets.findIndex((target) => target.id === this.#lastPolled) + 1
    return [...targets.slice(start), ...targets.slice(0, start)]
  }

  #applyProgress (targetId: TargetId, progress: TargetProgress | undefined): void {
    if (progress === undefined) return
    const nowMs = this.#context.clock.readMonotonicMs()
    this.#scheduler.recordProgress(targetId, progress.progress, progress.running, nowMs)
    if (!progress.isLeaving) return
    this.#context.logger.logInfo(DISPATCH_EVENTS.targetLeaving, { target: targetId })
    this.#scheduler.suspendTarget(targetId, nowMs + LEAVING_SUSPENSION_MS)
  }

  #buildInheritedRun (target: Target, index: number): Parameters<InheritedRuns['add']>[1] {
    const nowMs = this.#context.clock.readMonotonicMs()
    return {
      targets: [target.id],
      startedAtMs: nowMs,
      item: {
        requestId: toRequestId(`foreign:${target.id}:${index}`),
        attempt: 0,
        kind: 'foreign',
        customer: '',
        team: '',
        pool: '',
        urgency: 'normal',
        resources: NO_RESOURCES,
        taskCount: 1,
        isIdempotent: true,
        isExclusive: false,
        isResumable: false,
        isService: false,
        runtimeMs: undefined,
        enqueuedAtMs: nowMs,
        deadlineAtMs: nowMs,
        excludedTargets: []
      }
    }
  }
}
