import type { ReportedEnd } from './target-gateway.js'

/** Tracks which ended runs of one incarnation of a target were handled, and up to which number the target may drop them. */
export class RunEndTracker {
  readonly #maximumRemembered: number
  /** Keys of ended runs, to ignore them in answers that arrive out of order. */
  readonly #endedRuns = new Set<string>()
  #handledEnd = 0
  #storedEnd = 0
  #acknowledgedEnd = 0

  constructor (maximumRemembered: number) {
    this.#maximumRemembered = maximumRemembered
  }

  /** Returns the number up to which ended runs are stored, so that the target may drop them; 0 when it has dropped them already. */
  readDroppableEnd (): number {
    return this.#storedEnd > this.#acknowledgedEnd ? this.#storedEnd : 0
  }

  /** Records that the target has answered a poll that acknowledged ended runs up to this number. */
  confirmDropped (end: number): void {
    this.#acknowledgedEnd = Math.max(this.#acknowledgedEnd, end)
  }

  selectNew (ends: readonly ReportedEnd[]): ReportedEnd[] {
    return ends.filter((end) => end.number > this.#handledEnd)
  }

  /** Marks ended runs as handled. They may be acknowledged once `runWhenStored` calls back. */
  acknowledge (ends: readonly ReportedEnd[], runWhenStored: (callback: () => void) => void): void {
    const last = Math.max(...ends.map((end) => end.number))
    this.#handledEnd = Math.max(this.#handledEnd, last)
    runWhenStored(() => { this.#storedEnd = Math.max(this.#storedEnd, last) })
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
}
