import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { TargetSession } from './target-session.js'

/** Losses are remembered for this long. */
const LOSS_WINDOW_MS = 3_000
/** Answers of so many targets are lost before the others are looked at more often; a single one may just be gone. */
const MINIMUM_LOSSY_TARGETS = 2
/** While answers are lost, a target with runs is looked at after this time. */
const POLL_PERIOD_MS = 300
/** Extra looks in one period of checks, so that a large pool doesn't take the owner's processor. */
const MAXIMUM_POLLS_PER_PERIOD = 10

/**
 * Looks at targets more often while answers are being lost. A look waits for an end and is answered when one comes; when that
 * answer is lost, the end is noticed only after the look's timeout.
 */
export class LossPoller {
  readonly #clock: Clock
  readonly #sessions: ReadonlyMap<string, TargetSession>
  /** Monotonic time of the last lost answer, by target. */
  readonly #losses = new Map<string, number>()
  readonly #polledAtMs = new Map<string, number>()

  constructor (clock: Clock, sessions: ReadonlyMap<string, TargetSession>) {
    this.#clock = clock
    this.#sessions = sessions
  }

  recordLoss (targetId: string): void {
    this.#losses.set(targetId, this.#clock.readMonotonicMs())
  }

  /** Looks at the targets that were looked at longest ago, if answers are being lost. */
  pollDueTargets (): void {
    const nowMs = this.#clock.readMonotonicMs()
    for (const [id, atMs] of this.#losses) if (nowMs - atMs > LOSS_WINDOW_MS) this.#losses.delete(id)
    if (this.#losses.size < MINIMUM_LOSSY_TARGETS) return this.#polledAtMs.clear()
    const busy = [...this.#sessions.values()].filter((session) => session.countRuns() > 0)
    const due = busy.filter((session) => nowMs - this.#readLastPolledMs(session) >= POLL_PERIOD_MS)
    due.sort((left, right) => this.#readLastPolledMs(left) - this.#readLastPolledMs(right))
    for (const session of due.slice(0, MAXIMUM_POLLS_PER_PERIOD)) {
      this.#polledAtMs.set(session.id, nowMs)
      session.pollNow()
    }
  }

  #readLastPolledMs (session: TargetSession): number {
    return Math.max(session.readLastAnswerMs(), this.#polledAtMs.get(session.id) ?? Number.NEGATIVE_INFINITY)
  }
}
