import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { startRepeatingTimer } from '@hibiscusledge/runtime/repeating-timer.js'
import type { KeyValueStore, WatchHandler } from '@hibiscusledge/store/key-value-store.js'

/** Clock of one instance, whose process can be suspended and whose wall clock can step. */
export class SuspendableClock implements Clock {
  readonly #clock: FakeClock
  #wallOffsetMs = 0
  #isSuspended = false
  #waiting: (() => void)[] = []

  constructor (clock: FakeClock) {
    this.#clock = clock
  }

  readMonotonicMs (): number {
    return this.#clock.readMonotonicMs()
  }

  readWallMs (): number {
    return this.#clock.readWallMs() + this.#wallOffsetMs
  }

  startTimer (delayMs: number, callback: () => void): Timer {
    let isCancelled = false
    const timer = this.#clock.startTimer(delayMs, () => this.runWhenAwake(() => { if (!isCancelled) callback() }))
    return {
      cancel: () => {
        isCancelled = true
        timer.cancel()
      }
    }
  }

  startInterval (periodMs: number, callback: () => void): Timer {
    return startRepeatingTimer(this, periodMs, callback)
  }

  advanceWall (stepMs: number): void {
    this.#wallOffsetMs += stepMs
  }

  /** Suspends the process. What is due or arrives meanwhile is handled when it resumes. */
  suspend (durationMs: number): void {
    this.#isSuspended = true
    this.#clock.startTimer(durationMs, () => {
      this.#isSuspended = false
      for (const callback of this.#waiting.splice(0)) callback()
    })
  }

  runWhenAwake (callback: () => void): void {
    if (this.#isSuspended) this.#waiting.push(callback)
    else callback()
  }

  async awaitAwake<Value> (value: Value): Promise<Value> {
    return await new Promise((resolve) => this.runWhenAwake(() => resolve(value)))
  }
}

/** Creates a view of a store for an instance that reads no answer and no event while it is suspended. */
export function createSuspendableStore (store: KeyValueStore, clock: SuspendableClock): KeyValueStore {
  return {
    readKey: async (key, priority) => await clock.awaitAwake(await store.readKey(key, priority)),
    listPrefix: async (prefix, priority) => await clock.awaitAwake(await store.listPrefix(prefix, priority)),
    commitTransaction: async (transaction, priority) => await clock.awaitAwake(await store.commitTransaction(transaction, priority)),
    grantLease: async (ttlSeconds) => await clock.awaitAwake(await store.grantLease(ttlSeconds)),
    renewLease: async (leaseId) => await clock.awaitAwake(await store.renewLease(leaseId)),
    revokeLease: async (leaseId) => await clock.awaitAwake(await store.revokeLease(leaseId)),
    watchPrefix: (prefix, fromRevision, handler, batchWindowMs) => (
      store.watchPrefix(prefix, fromRevision, createSuspendableHandler(handler, clock), batchWindowMs)
    )
  }
}

function createSuspendableHandler (handler: WatchHandler, clock: SuspendableClock): WatchHandler {
  return {
    onEvents: (events, revision) => clock.runWhenAwake(() => handler.onEvents(events, revision)),
    onClosed: (reason) => clock.runWhenAwake(() => handler.onClosed(reason))
  }
}
