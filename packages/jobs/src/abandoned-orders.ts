import type { SessionContext } from './session-context.js'
import type { TargetEndpoint } from './target-gateway.js'
import { formatTaskName, type TaskRun } from './task-run.js'

interface AbandonedOrder { readonly taskName: string, readonly run: number, readonly expiresAtMs: number }

/** Start orders that were given up without an answer and may still be carried out, in particular by a restarted target. */
export class AbandonedOrders {
  readonly #context: SessionContext
  #orders: AbandonedOrder[] = []

  constructor (context: SessionContext) {
    this.#context = context
  }

  isEmpty (): boolean {
    return this.#orders.length === 0
  }

  add (run: TaskRun): void {
    const expiresAtMs = this.#context.clock.readMonotonicMs() + this.#context.timings.lateOrderMs
    this.#orders.push({ taskName: formatTaskName(run.task), run: run.number, expiresAtMs })
  }

  /** Drops orders that can no longer be carried out. */
  prune (): void {
    const nowMs = this.#context.clock.readMonotonicMs()
    this.#orders = this.#orders.filter((order) => nowMs < order.expiresAtMs)
  }

  /** Sends a stop for each order, so that the target refuses it. An order is dropped once the target has answered. */
  stopAll (target: TargetEndpoint): void {
    const { gateway, fencingToken } = this.#context
    for (const order of this.#orders) {
      void gateway.stopRun(target, { taskName: order.taskName, run: order.run, fencingToken }).then((result) => {
        if (result.err) return
        this.#orders = this.#orders.filter((other) => other !== order)
        this.#context.onCapacityChanged()
      })
    }
  }
}
