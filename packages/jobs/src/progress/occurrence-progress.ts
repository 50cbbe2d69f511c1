import type { Job } from '../job.js'
import { StepProgress, type StepObserver } from '../step-progress.js'
import type { StepGraph } from './step-graph.js'

/** Steps of which the readiness has changed since the last call. */
export interface ReadinessChanges {
  readonly ready: readonly StepProgress[]
  readonly completed: readonly StepProgress[]
}

/** Counts over all occurrences of a job. */
export interface JobTally {
  /** Tasks with an entry of their own. */
  entries: number
  /** Tasks with a run. */
  placedTasks: number
  /** Tasks of which a target has or may have any run. */
  activeTasks: number
  /** Open occurrences with incomplete steps. */
  incompleteOccurrences: number
}

/** Progress of the steps in one occurrence of a job. It follows the end of each step, so that nothing needs a pass over all steps. */
export class OccurrenceProgress implements StepObserver {
  readonly steps: readonly StepProgress[]
  readonly #graph: StepGraph
  readonly #tally: JobTally
  /** Number of incomplete steps that each step waits for. */
  readonly #waitingFor: number[]
  #incompleteCount: number
  #activeTasks = 0
  #entries = 0
  #ready: StepProgress[]
  #completed: StepProgress[] = []
  /** Position of the longest remaining path that has not ended, in the graph's order. */
  #longest = 0

  constructor (job: Job, occurrence: number, graph: StepGraph, tally: JobTally) {
    this.#graph = graph
    this.#tally = tally
    this.#waitingFor = [...graph.predecessorCounts]
    this.#incompleteCount = job.steps.length
    this.steps = job.steps.map((step, index) => new StepProgress(job.id, occurrence, index, step, this))
    this.#ready = this.steps.filter((_, index) => this.#waitingFor[index] === 0)
    tally.incompleteOccurrences++
  }

  onComplete (step: StepProgress): void {
    this.#completed.push(step)
    if (--this.#incompleteCount === 0) this.#tally.incompleteOccurrences--
    for (const dependent of this.#graph.listDependents(step.key.step)) {
      const left = (this.#waitingFor[dependent] ?? 0) - 1
      this.#waitingFor[dependent] = left
      const next = this.steps[dependent]
      if (left === 0 && next !== undefined) this.#ready.push(next)
    }
  }

  onEntriesChanged (by: 1 | -1): void {
    this.#entries += by
    this.#tally.entries += by
  }

  onRunsChanged (placedTasks: number, activeTasks: number): void {
    this.#activeTasks += activeTasks
    this.#tally.placedTasks += placedTasks
    this.#tally.activeTasks += activeTasks
  }

  isComplete (): boolean {
    return this.#incompleteCount === 0
  }

  hasRuns (): boolean {
    return this.#activeTasks > 0
  }

  /** Stops counting the occurrence, which is dropped. */
  close (): void {
    this.#tally.entries -= this.#entries
    this.#entries = 0
  }

  /** Returns the steps that have become ready, and those that have been completed, since the last call. */
  takeChanges (): ReadinessChanges {
    const changes = { ready: this.#ready.filter((step) => !step.isComplete()), completed: this.#completed }
    this.#ready = []
    this.#completed = []
    return changes
  }

  /** Returns the run time of the critical path through the incomplete steps. No step is complete before those that it waits for. */
  computeRemainingMs (): number {
    const { longestFirst, remainingPathsMs } = this.#graph
    let longest = longestFirst[this.#longest]
    while (longest !== undefined && this.steps[longest]?.isComplete() === true) longest = longestFirst[++this.#longest]
    return longest === undefined ? 0 : remainingPathsMs[longest] ?? 0
  }
}
