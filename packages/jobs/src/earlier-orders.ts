import type { SessionHost } from './session-host.js'
import type { TargetEndpoint } from './target-gateway.js'
import { formatTaskName, type TaskRun } from './task-run.js'

interface EarlierOrder { readonly taskName: string, readonly run: number, readonly untilMs: number }

/** Orders to start that were given up and may still be carried out, above all by another life of the target. */
export class EarlierOrders {
  readonly #host: SessionHost
  #orders: EarlierOrder[] = []

  constructor (host: SessionHost) {
    this.#host = host
  }

  isEmpty (): boolean {
    return this.#orders.length === 0
  }

  add (run: TaskRun): void {
    const untilMs = this.#host.clock.readMonotonicMs() + this.#host.timings.lateOrderMs
    this.#orders.push({ taskName: formatTaskName(run.task), run: run.number, untilMs })
  }

  /** Drops orders that can no longer be carried out. */
  prune (): void {
    const nowMs = this.#host.clock.readMonotonicMs()
    this.#orders = this.#orders.filter((order) => nowMs < order.untilMs)
  }

  /** Has the target refuse the orders; one is dropped when the target has answered. */
  stopAll (target: TargetEndpoint): void {
    const { gateway, fencingToken } = this.#host
    for (const order of this.#orders) {
      void gateway.stopRun(target, { taskName: order.taskName, run: order.run, fencingToken }).then((result) => {
        if (result.err) return
        this.#orders = this.#orders.filter((other) => other !== order)
        this.#host.onRoomChanged()
      })
    }
  }
}
