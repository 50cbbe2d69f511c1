/**
 * Slack of a sequence of deadlines: at each, the capacity offered so far less the work that is due by then. Work is added and the
 * smallest slack kept up to date in logarithmic time.
 */
export class SlackTree {
  readonly #leafCount: number
  /** Sum of the leaves below each node, and smallest sum of a prefix of them. Node 1 is the root; the leaves come last. */
  readonly #sums: Float64Array
  readonly #minimums: Float64Array

  /** `slack`: at each deadline, ascending. Must not be negative. */
  constructor (slack: readonly number[]) {
    this.#leafCount = 2 ** Math.ceil(Math.log2(Math.max(1, slack.length)))
    this.#sums = new Float64Array(2 * this.#leafCount)
    this.#minimums = new Float64Array(2 * this.#leafCount)
    slack.forEach((value, index) => {
      this.#sums[this.#leafCount + index] = value - (slack[index - 1] ?? 0)
      this.#minimums[this.#leafCount + index] = value - (slack[index - 1] ?? 0)
    })
    for (let node = this.#leafCount - 1; node > 0; node--) this.#updateNode(node)
  }

  /** Adds work that is due by a deadline unless the slack would become negative anywhere. Returns whether it was added. */
  tryAdd (index: number, work: number): boolean {
    this.#addToLeaf(index, -work)
    // Sums of floating-point numbers of this size are off by less than one.
    if ((this.#minimums[1] ?? 0) >= -1) return true
    this.#addToLeaf(index, work)
    return false
  }

  #addToLeaf (index: number, amount: number): void {
    let node = this.#leafCount + index
    this.#sums[node] = (this.#sums[node] ?? 0) + amount
    this.#minimums[node] = this.#sums[node] ?? 0
    for (node >>= 1; node > 0; node >>= 1) this.#updateNode(node)
  }

  #updateNode (node: number): void {
    const leftSum = this.#sums[2 * node] ?? 0
    this.#sums[node] = leftSum + (this.#sums[2 * node + 1] ?? 0)
    this.#minimums[node] = Math.min(this.#minimums[2 * node] ?? 0, leftSum + (this.#minimums[2 * node + 1] ?? 0))
  }
}
