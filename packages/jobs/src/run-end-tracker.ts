import type { ReportedEnd } from './target-gateway.js'

/** Tracks which ended runs of one incarnation of a target were handled, and up to which number the target may drop them. */
export class RunEndTracker {
  readonly #maximumRemembered: number
  /** Keys of ended runs, to ignore them in answers that arrive out of order. */
  readonly #endedRuns = new Set<string>()
  #handledEnd = 0
  #storedEnd = 0
  #incarnation = 0

  constructor (maximumRemembered: number) {
    this.#maximumRemembered = maximumRemembered
  }

  /** Returns the number up to which ended runs are stored, so that the target may drop them. */
  readStoredEnd (): number {
    return this.#storedEnd
  }

  selectNew (ends: readonly ReportedEnd[]): ReportedEnd[] {
    return ends.filter((end) => end.number > this.#handledEnd)
  }

  /** Marks ended runs as handled. They are acknowledged once `runWhenStored` calls back, unless the target has restarted by then. */
  acknowledge (ends: readonly ReportedEnd[], runWhenStored: (callback: () => void) => void): void {
    const last = Math.max(...ends.map((end) => end.number))
    this.#handledEnd = Math.max(this.#handledEnd, last)
    const incarnation = this.#incarnation
    runWhenStored(() => {
      if (this.#incarnation === incarnation) this.#storedEnd = Math.max(this.#storedEnd, last)
    })
  }

  rememberEndedRun (key: string): void {
    this.#endedRuns.add(key)
    if (this.#endedRuns.size <= this.#maximumRemembered) return
    const [oldest] = this.#endedRuns
    if (oldest !== undefined) this.#endedRuns.delete(oldest)
  }

  hasEnded (key: string): boolean {
    return this.#endedRuns.has(key)
  }

  /** Starts over after a restart of the target, which numbers its ended runs from the beginning. */
  reset (): void {
    this.#incarnation++
    this.#handledEnd = 0
    this.#storedEnd = 0
    this.#endedRuns.clear()
  }
}
