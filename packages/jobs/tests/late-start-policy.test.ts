import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { LateStartPolicy } from '../src/late-start-policy.js'
import type { TaskRun } from '../src/task-run.js'
import { createRun } from './job-fixtures.js'

const LATE_ORDER_MS = 13_000

interface Fixture {
  readonly clock: FakeClock
  readonly policy: LateStartPolicy
  /** Whether a task waits whose start order was sent to this target now. */
  awaits: (targetId: string) => boolean
}

function createFixture ({ targetCount = 4, isDelayable = true } = {}): Fixture {
  const clock = new FakeClock()
  const policy = new LateStartPolicy({ clock, lateOrderMs: LATE_ORDER_MS, countTargets: () => targetCount, isDelayable: () => isDelayable })
  const awaits = (targetId: string): boolean => policy.shouldAwait(createSentRun(clock, targetId))
  return { clock, policy, awaits }
}

function createSentRun (clock: FakeClock, targetId: string): TaskRun {
  return createRun({ targetId, sentAtMs: clock.readMonotonicMs() })
}

// Guards against tasks that are late by seconds in each loss of an answer, although no target would carry the order out.
test('no task waits before the second restart, nor long after the last', async (t) => {
  const { clock, policy, awaits } = createFixture()
  t.false(awaits('t0'))
  policy.recordRestart('t0')
  t.false(awaits('t0'))
  policy.recordRestart('t1')
  t.true(awaits('t0'))
  t.true(awaits('t3'))
  await clock.advanceBy(60_001)
  t.false(awaits('t0'))
})

// Guards against the same in a large fleet, in which some target restarts at any time.
test('among many targets only tasks of one that restarts repeatedly wait', (t) => {
  const { policy, awaits } = createFixture({ targetCount: 100 })
  for (const targetId of ['t0', 't0', 't1']) policy.recordRestart(targetId)
  t.true(awaits('t0'))
  t.false(awaits('t1'))
  t.false(awaits('t2'))
  for (let index = 2; index < 10; index++) policy.recordRestart(`t${index}`)
  t.true(awaits('t50'))
})

test('a task waits until its start order is surely not carried out any more', async (t) => {
  const { clock, policy } = createFixture()
  policy.recordRestart('t0')
  policy.recordRestart('t0')
  const run = createSentRun(clock, 't0')
  await clock.advanceBy(LATE_ORDER_MS - 1)
  t.true(policy.shouldAwait(run))
  await clock.advanceBy(1)
  t.false(policy.shouldAwait(run))
})

test('a task that is not to wait does not, nor does one whose order an earlier owner has sent', (t) => {
  const eager = createFixture({ isDelayable: false })
  const { policy } = createFixture()
  for (const target of [eager.policy, policy, eager.policy, policy]) target.recordRestart('t0')
  t.false(eager.awaits('t0'))
  t.false(policy.shouldAwait(createRun({ targetId: 't0', sentAtMs: Number.NEGATIVE_INFINITY })))
})
