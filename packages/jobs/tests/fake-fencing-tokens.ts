import type { FencingTokenSource } from '../src/fencing-token-source.js'

/** Issues tokens when the test says so; by default at once. */
export class FakeFencingTokens implements FencingTokenSource {
  isHeldBack = false
  #newest = 1
  #requests: (() => void)[] = []

  readNewestToken (): number {
    return this.#newest
  }

  requestTokenAbove (token: number, callback: () => void): void {
    this.#requests.push(() => {
      this.#newest = Math.max(this.#newest, token + 1)
      callback()
    })
    if (!this.isHeldBack) this.grant()
  }

  /** Grants the tokens that were requested. */
  grant (): void {
    for (const request of this.#requests.splice(0)) request()
  }
}
