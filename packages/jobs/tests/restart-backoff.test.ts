import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import test from 'ava'
import { RestartBackoff } from '../src/failures/restart-backoff.js'
import { StepProgress } from '../src/step-progress.js'
import { createRun, createStep } from './job-fixtures.js'

const PERIOD_MS = 10

/** Returns for how long the task of a step is not pending after a run that took `ranMs` has failed. */
async function measureDelay (clock: FakeClock, backoff: RestartBackoff, step: StepProgress, ranMs: number): Promise<number> {
  const nowMs = clock.readMonotonicMs()
  backoff.pauseTask(step, 0, createRun({ sentAtMs: nowMs - ranMs }))
  while (step.countPending() === 0) {
    await clock.advanceBy(PERIOD_MS)
    backoff.resumeTasks()
  }
  return clock.readMonotonicMs() - nowMs
}

test('the delay doubles with each failure in a row up to a bound, and begins again after a run that was at work', async (t) => {
  const clock = new FakeClock()
  const backoff = new RestartBackoff(clock, new SeededRandomSource(1))
  const step = new StepProgress('aa', 0, 0, createStep({ isLongRunning: true }))
  for (const delayMs of [200, 400, 800, 1_600, 3_200, 5_000, 5_000]) {
    const measuredMs = await measureDelay(clock, backoff, step, 150)
    t.true(measuredMs > delayMs * 0.7 && measuredMs <= delayMs + PERIOD_MS, `${measuredMs} for ${delayMs}`)
  }
  t.true(await measureDelay(clock, backoff, step, 20_000) <= 200 + PERIOD_MS)
})

// Guards against tasks that failed together, start together and compete for the same capacity again and again.
test('tasks that fail at the same time are delayed for different times', async (t) => {
  const clock = new FakeClock()
  const backoff = new RestartBackoff(clock, new SeededRandomSource(1))
  const step = new StepProgress('aa', 0, 0, createStep({ taskCount: 50, isLongRunning: true }))
  for (let index = 0; index < step.step.taskCount; index++) backoff.pauseTask(step, index, createRun())
  const pending: number[] = []
  for (let passedMs = 0; passedMs <= 200; passedMs += PERIOD_MS) {
    await clock.advanceBy(PERIOD_MS)
    backoff.resumeTasks()
    pending.push(step.countPending())
  }
  t.true(new Set(pending).size >= 4, pending.join(' '))
  t.is(pending.at(-1), 50)
})

test('a gang is not pending while one of its members waits', (t) => {
  const clock = new FakeClock()
  const step = new StepProgress('aa', 0, 0, createStep({ taskCount: 3, isGang: true, isLongRunning: true }))
  new RestartBackoff(clock, new SeededRandomSource(1)).pauseTask(step, 0, createRun())
  t.is(step.countPending(), 0)
  t.deepEqual(step.listPending(), [])
})
