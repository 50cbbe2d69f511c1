import type { ReportedEnd } from './target-gateway.js'

/** Which ends of one life of a target were handled, and up to which the target may forget them. */
export class RunEndTracker {
  readonly #maximumRemembered: number
  /** Names of runs that have ended, for answers that arrive out of order. */
  readonly #endedRuns = new Set<string>()
  #handledEnd = 0
  #storedEnd = 0
  #incarnation = 0

  constructor (rememberedCount: number) {
    this.#maximumRemembered = rememberedCount
  }

  /** Ends up to this number are stored, so the target may forget them. */
  readStoredEnd (): number {
    return this.#storedEnd
  }

  selectNew (rows: readonly ReportedEnd[]): ReportedEnd[] {
    return rows.filter((row) => row.number > this.#handledEnd)
  }

  /** Takes rows as handled. They are acknowledged once `runWhenStored` calls back, unless the target has started again by then. */
  acknowledge (rows: readonly ReportedEnd[], runWhenStored: (callback: () => void) => void): void {
    const last = Math.max(...rows.map((row) => row.number))
    this.#handledEnd = Math.max(this.#handledEnd, last)
    const life = this.#incarnation
    runWhenStored(() => {
      if (this.#incarnation === life) this.#storedEnd = Math.max(this.#storedEnd, last)
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

  /** The target has started again and counts its ends anew. */
  reset (): void {
    this.#incarnation++
    this.#handledEnd = 0
    this.#storedEnd = 0
    this.#endedRuns.clear()
  }
}
