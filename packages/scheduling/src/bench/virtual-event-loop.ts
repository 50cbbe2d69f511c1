import { IndexedHeap } from '../indexed-heap.js'

interface VirtualEvent {
  readonly atMs: number
  readonly sequence: number
  readonly run: () => void
}

/** Runs callbacks in order of virtual time. */
export class VirtualEventLoop {
  readonly #events = new IndexedHeap<VirtualEvent>((left, right) => left.atMs - right.atMs || left.sequence - right.sequence)
  #sequence = 0
  #nowMs = 0

  get nowMs (): number { return this.#nowMs }

  schedule (atMs: number, run: () => void): void {
    this.#events.insert({ atMs: Math.max(atMs, this.#nowMs), sequence: this.#sequence++, run })
  }

  /** Runs every event up to `untilMs`. */
  run (untilMs: number): void {
    for (;;) {
      const event = this.#events.getFirst()
      if (event === undefined || event.atMs > untilMs) break
      this.#events.remove(event)
      this.#nowMs = event.atMs
      event.run()
    }
    this.#nowMs = untilMs
  }
}
