import type { EndRow } from './target-gateway.js'

/** Which ends of one life of a target were handled, and up to which the target may forget them. */
export class EndAcknowledgement {
  readonly #rememberedCount: number
  /** Names of runs that have ended, for answers that arrive out of order. */
  readonly #endedRuns = new Set<string>()
  #handledEnd = 0
  #storedEnd = 0
  #life = 0

  constructor (rememberedCount: number) {
    this.#rememberedCount = rememberedCount
  }

  /** Ends up to this number are stored, so the target may forget them. */
  readStored (): number {
    return this.#storedEnd
  }

  selectNew (rows: readonly EndRow[]): EndRow[] {
    return rows.filter((row) => row.number > this.#handledEnd)
  }

  /** Takes rows as handled. They are acknowledged once `runWhenStored` calls back, unless the target has started again by then. */
  acknowledge (rows: readonly EndRow[], runWhenStored: (callback: () => void) => void): void {
    const last = Math.max(...rows.map((row) => row.number))
    this.#handledEnd = Math.max(this.#handledEnd, last)
    const life = this.#life
    runWhenStored(() => {
      if (this.#life === life) this.#storedEnd = Math.max(this.#storedEnd, last)
    })
  }

  rememberRun (key: string): void {
    this.#endedRuns.add(key)
    if (this.#endedRuns.size <= this.#rememberedCount) return
    const [oldest] = this.#endedRuns
    if (oldest !== undefined) this.#endedRuns.delete(oldest)
  }

  hasEnded (key: string): boolean {
    return this.#endedRuns.has(key)
  }

  /** The target has started again and counts its ends anew. */
  reset (): void {
    this.#life++
    this.#handledEnd = 0
    this.#storedEnd = 0
    this.#endedRuns.clear()
  }
}
