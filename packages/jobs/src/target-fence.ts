import type { FencingTokenSource } from './fencing-token-source.js'

/**
 * The fencing token of the orders to one target. A target does nothing for an order with a lower token than it has seen, so once the
 * token is raised, the next order that the target carries out fences off all that were sent before and got no answer. That holds for
 * each incarnation of the target, even though a restarted one has seen no token yet.
 */
export class TargetFence {
  readonly #source: FencingTokenSource
  #token: number
  #isRaising = false

  constructor (source: FencingTokenSource) {
    this.#source = source
    this.#token = source.readNewestToken()
  }

  /** Returns the token of an order that is sent now. */
  readToken (): number {
    return this.#token
  }

  /** Fences off an order that was sent with this token and may still be carried out, and all that were sent before it. */
  advanceBeyond (token: number): void {
    if (token < this.#token || this.#isRaising) return
    this.#isRaising = true
    this.#source.requestTokenAbove(this.#token, () => {
      this.#isRaising = false
      this.#token = this.#source.readNewestToken()
    })
  }

  /** Whether an order with this token was overtaken by one of this owner with a higher token, so that a refusal shows no newer owner. */
  hasOvertaken (token: number): boolean {
    return token < this.#token
  }
}
