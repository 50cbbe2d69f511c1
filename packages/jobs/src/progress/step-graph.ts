import type { JobStep } from '../job.js'

/**
 * The dependencies between the steps of a job, as far as they don't change. They are walked once, so that what follows from the end of
 * a step is found without a pass over all steps.
 */
export class StepGraph {
  /** Run time of the critical path through all steps by the caller's estimates. */
  readonly criticalPathMs: number
  /** Number of entries in `after`, by step. */
  readonly predecessorCounts: readonly number[]
  /** Run time of the longest path from the start of each step to the end of the job. */
  readonly remainingPathsMs: readonly number[]
  /** The steps in the order of descending remaining paths. */
  readonly longestFirst: readonly number[]
  readonly hasLongRunningStep: boolean
  /** Number of steps and of their dependencies. */
  readonly size: number
  readonly #dependents: readonly (readonly number[] | undefined)[]

  constructor (steps: readonly JobStep[]) {
    this.predecessorCounts = steps.map((step) => step.after.length)
    this.remainingPathsMs = computeRemainingPaths(steps)
    this.longestFirst = sortByPath(this.remainingPathsMs)
    this.#dependents = groupDependents(steps)
    this.criticalPathMs = this.remainingPathsMs[this.longestFirst[0] ?? 0] ?? 0
    this.hasLongRunningStep = steps.some((step) => step.isLongRunning)
    this.size = this.predecessorCounts.reduce((sum, count) => sum + count, steps.length)
  }

  /** Lists the steps that wait for a step, as often as they name it. */
  listDependents (step: number): readonly number[] {
    return this.#dependents[step] ?? []
  }
}

/** Steps name only earlier ones, so that the last step comes last on each path. */
function computeRemainingPaths (steps: readonly JobStep[]): number[] {
  const pathsMs = new Array<number>(steps.length).fill(0)
  for (let index = steps.length - 1; index >= 0; index--) {
    const step = steps[index]
    if (step === undefined) continue
    const pathMs = (pathsMs[index] ?? 0) + Math.max(0, step.estimatedMs)
    pathsMs[index] = pathMs
    for (const earlier of step.after) if (earlier < index) pathsMs[earlier] = Math.max(pathsMs[earlier] ?? 0, pathMs)
  }
  return pathsMs
}

function sortByPath (pathsMs: readonly number[]): number[] {
  return Array.from(pathsMs.keys()).sort((left, right) => (pathsMs[right] ?? 0) - (pathsMs[left] ?? 0))
}

function groupDependents (steps: readonly JobStep[]): (number[] | undefined)[] {
  const dependents = new Array<number[] | undefined>(steps.length).fill(undefined)
  for (const [index, step] of steps.entries()) {
    for (const earlier of step.after) {
      if (earlier >= steps.length) continue
      const group = dependents[earlier]
      if (group === undefined) dependents[earlier] = [index]
      else group.push(index)
    }
  }
  return dependents
}
