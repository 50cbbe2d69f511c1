import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { StepProgress, TaskProgress } from '../step-progress.js'
import type { TaskRun } from '../task-run.js'

const FIRST_DELAY_MS = 200
/** A task that lasts is to be at work again within 6 s of its last run, in case its next run succeeds. */
const MAXIMUM_DELAY_MS = 5_000
/** The delay is shortened by up to this share, so that tasks that failed together don't start together again and again. */
const JITTER_SHARE = 0.25
/** A run that has lasted this long was at work, so its failure doesn't continue those before. */
const STABLE_RUN_MS = 10_000

/** Whether a run had been at work before it failed. */
export function isStableRun ({ sentAtMs }: TaskRun, nowMs: number): boolean {
  return nowMs - sentAtMs >= STABLE_RUN_MS
}

/** Restart of a task of this step, which may be placed again from `untilMs` on, a monotonic time. */
interface DelayedRestart { readonly step: StepProgress, readonly untilMs: number }

/**
 * Delays the restart of long-running tasks that fail, each by itself: twice as long after each failure in a row. Without a delay, tasks
 * that always fail use the targets and the store's writes as fast as rounds follow each other.
 */
export class RestartBackoff {
  readonly #clock: Clock
  readonly #random: RandomSource
  readonly #delayed = new Map<TaskProgress, DelayedRestart>()

  constructor (clock: Clock, random: RandomSource) {
    this.#clock = clock
    this.#random = random
  }

  /** Delays a task whose run has failed. */
  pauseTask (step: StepProgress, index: number, run: TaskRun): void {
    const nowMs = this.#clock.readMonotonicMs()
    const task = step.ensureTask(index)
    task.restarts = isStableRun(run, nowMs) ? 1 : task.restarts + 1
    const delayMs = Math.min(MAXIMUM_DELAY_MS, FIRST_DELAY_MS * 2 ** (task.restarts - 1))
    step.setDelayed(index, true)
    this.#delayed.set(task, { step, untilMs: nowMs + delayMs * (1 - JITTER_SHARE * this.#random.drawFraction()) })
  }

  /** Makes the tasks pending again whose delay is over. */
  resumeTasks (): void {
    const nowMs = this.#clock.readMonotonicMs()
    for (const [task, { step, untilMs }] of this.#delayed) {
      if (nowMs < untilMs) continue
      step.setDelayed(task.key.index, false)
      this.#delayed.delete(task)
    }
  }
}
