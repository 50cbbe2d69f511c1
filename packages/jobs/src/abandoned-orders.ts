import type { SessionContext } from './session-context.js'
import type { TargetFence } from './target-fence.js'
import type { TargetEndpoint } from './target-gateway.js'
import { formatTaskName, type TaskRun } from './task-run.js'

interface AbandonedOrder {
  readonly taskName: string
  readonly run: number
  readonly expiresAtMs: number
  /** Whether the target's present incarnation refuses the order. */
  isRefused: boolean
}

/** Start orders without an answer whose runs were given up. They may still be carried out, in particular by a restarted target. */
export class AbandonedOrders {
  readonly #context: SessionContext
  readonly #fence: TargetFence
  #orders: AbandonedOrder[] = []

  constructor (context: SessionContext, fence: TargetFence) {
    this.#context = context
    this.#fence = fence
  }

  isEmpty (): boolean {
    return this.#orders.length === 0
  }

  /** Whether the target may still carry out one of the orders, as far as its present incarnation is concerned. */
  hasUnrefused (): boolean {
    return this.#orders.some(({ isRefused }) => !isRefused)
  }

  /** Adds the start order of a run. `isRefused` tells whether the target's present incarnation is known to refuse it. */
  add (run: TaskRun, isRefused: boolean): void {
    const expiresAtMs = this.#context.clock.readMonotonicMs() + this.#context.timings.lateOrderMs
    this.#orders.push({ taskName: formatTaskName(run.task), run: run.number, expiresAtMs, isRefused })
  }

  /** Drops orders that can no longer be carried out. */
  prune (): void {
    const nowMs = this.#context.clock.readMonotonicMs()
    this.#orders = this.#orders.filter((order) => nowMs < order.expiresAtMs)
  }

  /** Handles a restart: the new incarnation doesn't know the stops that the earlier one has answered. */
  onTargetRestarted (): void {
    this.#orders = this.#orders.map((order) => ({ ...order, isRefused: false }))
  }

  /** Sends a stop for each order that the target isn't known to refuse. */
  stopAll (target: TargetEndpoint): void {
    const { gateway } = this.#context
    const fencingToken = this.#fence.readToken()
    for (const order of this.#orders) {
      if (order.isRefused) continue
      void gateway.stopRun(target, { taskName: order.taskName, run: order.run, fencingToken }).then((result) => {
        if (result.err) return
        order.isRefused = true
        this.#context.onCapacityChanged()
      })
    }
  }
}
