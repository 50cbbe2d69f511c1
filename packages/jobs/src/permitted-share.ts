/** Assumed before the first answers. */
const INITIAL_SHARE = 0.3
/** Weight of the share that the newest answer shows. */
const SMOOTHING_FACTOR = 0.1
/** A share of nothing would ask about everything. */
const MINIMUM_SHARE = 0.05

/** Which share of the targets asked about the policy of each queue permits, from its recent answers. */
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
