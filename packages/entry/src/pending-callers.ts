/** Counts the callers that have sent an HTTP request and have not received the complete response yet. */
export class PendingCallers {
  #count = 0
  readonly #idleListeners = new Set<() => void>()

  readCount (): number {
    return this.#count
  }

  /** Adds a caller. The returned function removes it; further calls of that function have no effect. */
  addCaller (): () => void {
    this.#count++
    let isPending = true
    return () => {
      if (!isPending) return
      isPending = false
      this.#count--
      if (this.#count === 0) this.#notifyIdle()
    }
  }

  /** Resolves when no caller is pending, or when `signal` aborts. */
  async waitForIdle (signal: AbortSignal): Promise<void> {
    if (this.#count === 0 || signal.aborted) return
    await new Promise<void>((resolve) => {
      this.#idleListeners.add(resolve)
      signal.addEventListener('abort', () => resolve(), { once: true })
    })
  }

  #notifyIdle (): void {
    const listeners = [...this.#idleListeners]
    this.#idleListeners.clear()
    for (const listener of listeners) listener()
  }
}
