import type { JobProgress } from '../job-progress.js'

/** Steps held for all jobs from which on only jobs without an open occurrence get another one. */
const MAXIMUM_HELD_STEPS = 50_000
/** Steps of the occurrences that are added at a time, so that other work has its turn in between. */
const STEPS_PER_PASS = 10_000

/**
 * Selects the scheduled jobs whose next occurrence is added. Callers choose how many occurrences are due and how many steps each has,
 * so that the occurrences of many small jobs could fill the memory. When not all can be added, the jobs take turns.
 */
export class OccurrenceLimiter {
  #turn = 0

  /** `heldSteps`: the steps held for all jobs. */
  selectDue (jobs: Iterable<JobProgress>, heldSteps: number, wallMs: number): JobProgress[] {
    const due = [...jobs].filter((progress) => progress.isOccurrenceDue(wallMs))
    const first = due.length === 0 ? 0 : this.#turn % due.length
    const selected: JobProgress[] = []
    let addedSteps = 0
    let seenCount = 0
    for (const progress of [...due.slice(first), ...due.slice(0, first)]) {
      if (addedSteps >= STEPS_PER_PASS) break
      seenCount++
      if (progress.hasOpenOccurrence() && heldSteps + addedSteps >= MAXIMUM_HELD_STEPS) continue
      selected.push(progress)
      addedSteps += progress.job.steps.length
    }
    this.#turn = seenCount < due.length ? first + seenCount : 0
    return selected
  }
}
