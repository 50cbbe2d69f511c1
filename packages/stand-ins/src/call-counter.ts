import type { Clock } from '@hibiscusledge/runtime/clock.js'

export type CallKind = 'reads' | 'writes'

export interface CallCounters {
  readonly totals: { readonly reads: number, readonly writes: number, readonly refused: number, readonly watchesOpened: number }
  readonly waitingWatches: number
  readonly peakPerSecond: { readonly reads: number, readonly writes: number }
  /** Oldest first. Seconds without a call are omitted. */
  readonly perSecond: ReadonlyArray<{ readonly second: number, readonly reads: number, readonly writes: number }>
}

const RETAINED_SECONDS = 900

/** Counts calls to the store by kind and by second of wall-clock time. */
export class CallCounter {
  readonly #clock: Clock
  readonly #totals = { reads: 0, writes: 0, refused: 0, watchesOpened: 0 }
  readonly #peak = { reads: 0, writes: 0 }
  #perSecond: Array<{ second: number, reads: number, writes: number }> = []
  waitingWatches = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  recordCall (kind: CallKind): void {
    const second = Math.floor(this.#clock.readWallMs() / 1000)
    let currentSecond = this.#perSecond.at(-1)
    if (currentSecond?.second !== second) {
      currentSecond = { second, reads: 0, writes: 0 }
      this.#perSecond.push(currentSecond)
      if (this.#perSecond.length > RETAINED_SECONDS) this.#perSecond.shift()
    }
    currentSecond[kind]++
    this.#totals[kind]++
    this.#peak[kind] = Math.max(this.#peak[kind], currentSecond[kind])
  }

  recordRefusal (): void {
    this.#totals.refused++
  }

  recordWatch (): void {
    this.recordCall('reads')
    this.#totals.watchesOpened++
    this.waitingWatches++
  }

  readCounters (): CallCounters {
    return {
      totals: { ...this.#totals }, waitingWatches: this.waitingWatches, peakPerSecond: { ...this.#peak }, perSecond: [...this.#perSecond]
    }
  }

  reset (): void {
    Object.assign(this.#totals, { reads: 0, writes: 0, refused: 0, watchesOpened: 0 })
    Object.assign(this.#peak, { reads: 0, writes: 0 })
    this.#perSecond = []
  }
}
