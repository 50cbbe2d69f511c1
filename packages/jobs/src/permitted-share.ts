/** Share that is assumed before the first answer. */
const INITIAL_SHARE = 0.3
/** Weight of the newest answer in the exponential moving average. */
const SMOOTHING_FACTOR = 0.1
/** Lower bound, since with a share of 0 a request would name as many targets as it may. */
const MINIMUM_SHARE = 0.05

/** Estimates for each queue which share of the requested targets its policy permits, as a moving average over the answers. */
export class PermittedShare {
  readonly #shares = new Map<string, number>()

  read (queue: string): number {
    return this.#shares.get(queue) ?? INITIAL_SHARE
  }

  record (queue: string, askedCount: number, permittedCount: number): void {
    if (askedCount === 0) return
    const share = this.read(queue) * (1 - SMOOTHING_FACTOR) + permittedCount / askedCount * SMOOTHING_FACTOR
    this.#shares.set(queue, Math.max(MINIMUM_SHARE, share))
  }
}
