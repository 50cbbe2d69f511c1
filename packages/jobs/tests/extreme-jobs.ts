import fc from 'fast-check'
import type { Job, JobSchedule, JobStep } from '../src/job.js'
import { createJob, createStep } from './job-fixtures.js'

/** How the steps of a job wait for each other. */
const DEPENDENCY_SHAPES = ['none', 'chain', 'all', 'first', 'repeated'] as const
type DependencyShape = typeof DEPENDENCY_SHAPES[number]

/** Steps that all wait for all earlier ones are fewer: their lists grow with the square of their number. */
const MAXIMUM_STEPS_WAITING_FOR_ALL = 120
const MAXIMUM_TASKS = 100_000
const MAXIMUM_GANG = 3_000
const SCHEDULE_START_MS = 1_700_000_000_000

/** Draws legal jobs of extreme shape: of few or very many tasks, steps and occurrences, that request everything, nothing or a fraction. */
export function drawExtremeJob (id: string): fc.Arbitrary<Job> {
  const drawSteps = fc.constantFrom(1, 2, 40, 1_500).chain((stepCount) => fc.record({
    kinds: fc.array(drawStep(), { minLength: 1, maxLength: 3 }),
    shape: fc.constantFrom(...DEPENDENCY_SHAPES),
    stepCount: fc.constant(stepCount)
  }))
  return fc.record({ steps: drawSteps, schedule: fc.option(drawSchedule(), { nil: undefined, freq: 2 }) }).map(({ steps, schedule }) => {
    return createJob(id, buildSteps(steps.kinds, steps.shape, steps.stepCount), schedule === undefined ? {} : { schedule })
  })
}

function drawStep (): fc.Arbitrary<JobStep> {
  return fc.record({
    taskCount: fc.constantFrom(1, 2, 60, MAXIMUM_GANG, MAXIMUM_TASKS),
    size: fc.record({
      cpuMillis: fc.constantFrom(0, 0.1, 33.3, 250, 16_000, 1e308),
      memoryMb: fc.constantFrom(0, 0.7, 6_400, 64_000),
      accelerators: fc.constantFrom(0, 0, 0, 1)
    }),
    estimatedMs: fc.constantFrom(0, 40, 700, 1e12),
    isGang: fc.boolean(),
    isCheckpointing: fc.boolean(),
    isLongRunning: fc.constantFrom(false, false, true),
    allowsCopies: fc.boolean(),
    usesIdleCapacity: fc.constantFrom(false, false, true),
    prefersOneRack: fc.boolean(),
    maximumPerTarget: fc.constantFrom(0, 0, 1),
    requiredLabel: fc.constantFrom(undefined, undefined, 'none')
  }).map((values) => createStep(values))
}

function drawSchedule (): fc.Arbitrary<JobSchedule> {
  return fc.record({
    occurrences: fc.constantFrom(1, 5, 1e9),
    firstDueMs: fc.constantFrom(0, SCHEDULE_START_MS),
    intervalMs: fc.constantFrom(0, 1, 1e9)
  })
}

/** Repeats steps of a few kinds, within the limits on the tasks of a job and of a gang. */
function buildSteps (kinds: readonly JobStep[], shape: DependencyShape, drawnCount: number): JobStep[] {
  const stepCount = shape === 'all' ? Math.min(MAXIMUM_STEPS_WAITING_FOR_ALL, drawnCount) : drawnCount
  const tasksPerStep = Math.floor(MAXIMUM_TASKS / stepCount)
  return Array.from({ length: stepCount }, (_, index) => {
    const kind = kinds[index % kinds.length] ?? createStep()
    const taskCount = Math.min(kind.taskCount, tasksPerStep, kind.isGang ? MAXIMUM_GANG : MAXIMUM_TASKS)
    return { ...kind, taskCount, after: listEarlier(shape, index) }
  })
}

function listEarlier (shape: DependencyShape, index: number): number[] {
  if (index === 0 || shape === 'none') return []
  if (shape === 'chain') return [index - 1]
  if (shape === 'first') return [0]
  if (shape === 'repeated') return new Array<number>(Math.min(index, 20)).fill(index - 1)
  return Array.from({ length: index }, (_, earlier) => earlier)
}
