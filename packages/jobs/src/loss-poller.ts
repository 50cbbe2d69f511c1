import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { TargetSession } from './target-session.js'

/** A lost answer counts for this long. */
const LOSS_WINDOW_MS = 3_000
/** Number of targets with lost answers from which all busy targets are polled. A single one may just be gone. */
const MINIMUM_LOSSY_TARGETS = 2
/** Polling period of a target with runs while answers are being lost. */
const POLL_PERIOD_MS = 300
/** Maximum number of polls sent by one check, so that many targets don't use up the owner's CPU time. */
const MAXIMUM_POLLS_PER_PERIOD = 10

/**
 * Polls targets more often while answers are being lost. The target answers a waiting poll when a run ends; if that answer is
 * lost, the owner would learn of the end only after the poll has timed out.
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

  /** While answers are being lost, polls the busy targets that are due, least recently polled first. */
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
