import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import { startRepeatingTimer } from '@hibiscusledge/runtime/repeating-timer.js'

const WALL_START_MS = 1_700_000_000_000

interface PendingTimer {
  readonly dueMs: number
  readonly order: number
  callback: (() => void) | undefined
}

/** A clock that jumps from timer to timer. Keeps its timers in a binary heap, since a large cell has tens of thousands. */
export class VirtualClock implements Clock {
  #nowMs = 0
  #nextOrder = 0
  readonly #heap: PendingTimer[] = []

  readMonotonicMs (): number {
    return this.#nowMs
  }

  readWallMs (): number {
    return WALL_START_MS + this.#nowMs
  }

  startTimer (delayMs: number, callback: () => void): Timer {
    const timer: PendingTimer = { dueMs: this.#nowMs + Math.max(0, delayMs), order: this.#nextOrder++, callback }
    this.#addTimer(timer)
    return { cancel: () => { timer.callback = undefined } }
  }

  startInterval (periodMs: number, callback: () => void): Timer {
    return startRepeatingTimer(this, periodMs, callback)
  }

  /** Resolves after a delay. */
  async wait (delayMs: number): Promise<void> {
    await new Promise<void>((resolve) => { this.startTimer(delayMs, resolve) })
  }

  /** Runs all timers that become due until `endMs`. Promises settle after each timer. */
  async runUntil (endMs: number): Promise<void> {
    for (let timer = this.#heap[0]; timer !== undefined && timer.dueMs <= endMs; timer = this.#heap[0]) {
      this.#removeFirst()
      if (timer.callback === undefined) continue
      this.#nowMs = timer.dueMs
      timer.callback()
      await new Promise<void>((resolve) => { setImmediate(resolve) })
    }
    this.#nowMs = endMs
  }

  #addTimer (timer: PendingTimer): void {
    let index = this.#heap.push(timer) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.#isBefore(index, parent)) return
      this.#replacePair(index, parent)
      index = parent
    }
  }

  #removeFirst (): void {
    const last = this.#heap.pop()
    if (last === undefined || this.#heap.length === 0) return
    this.#heap[0] = last
    for (let index = 0; ;) {
      const left = 2 * index + 1
      const child = this.#isBefore(left + 1, left) ? left + 1 : left
      if (!this.#isBefore(child, index)) return
      this.#replacePair(index, child)
      index = child
    }
  }

  /** Whether the timer at `left` runs before that at `right`; false when there is no timer at `left`. */
  #isBefore (left: number, right: number): boolean {
    const first = this.#heap[left]
    const second = this.#heap[right]
    if (first === undefined || second === undefined) return false
    return first.dueMs < second.dueMs || (first.dueMs === second.dueMs && first.order < second.order)
  }

  /** Exchanges two timers of the heap. */
  #replacePair (left: number, right: number): void {
    const timer = this.#heap[left]
    const other = this.#heap[right]
    if (timer === undefined || other === undefined) return
    this.#heap[left] = other
    this.#heap[right] = timer
  }
}
