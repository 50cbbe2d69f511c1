import { toRequestId } from '@hibiscusledge/runtime/identifiers.js'
import test from 'ava'
import type { RejectionReason } from '../src/decision.js'
import { PoolShardScheduler } from '../src/pool-shard-scheduler.js'
import type { WorkItem } from '../src/work-item.js'
import { buildExecutor, buildItem, buildPool, buildWorker } from './fixtures.js'

function buildScheduler (): PoolShardScheduler {
  const scheduler = new PoolShardScheduler()
  scheduler.applyPools([
    buildPool({ teamQuotas: { small: 10 }, classes: { low: { limitPercent: 25 } } }),
    buildPool({ name: 'empty', labels: { none: 'yes' } })
  ], 0)
  scheduler.applyTargets([buildWorker('w1'), buildWorker('w2', { capacity: { cores: 4, memoryMb: 200_000, accelerators: 2 } })], 0)
  return scheduler
}

const REJECTED: ReadonlyArray<readonly [string, Partial<WorkItem>, RejectionReason, RegExp]> = [
  ['unknown pool', { pool: 'none' }, 'unknownPool', /none/],
  ['no targets', { pool: 'empty' }, 'noTargets', /empty/],
  ['expired deadline', { deadlineAtMs: 0 }, 'deadlineExpired', /deadline/],
  ['too many cores', { resources: { cores: 17, memoryMb: 1, accelerators: 0 } }, 'impossible', /17 cores.*has 16/],
  ['too much memory', { resources: { cores: 1, memoryMb: 200_001, accelerators: 0 } }, 'impossible', /memory.*200000/],
  ['too many accelerators', { resources: { cores: 1, memoryMb: 1, accelerators: 3 } }, 'impossible', /3 accelerators.*has 2/],
  ['no single target has enough cores and memory', { resources: { cores: 16, memoryMb: 100_000, accelerators: 0 } }, 'impossible', /no single target/],
  ['gang larger than the pool', { taskCount: 21 }, 'impossible', /21 tasks.*hold 20/],
  ['over the limit of its class', { urgency: 'low', taskCount: 6 }, 'impossible', /30.0 %.*class low is 25 %/],
  ['over the quota of its team', { team: 'small', taskCount: 3 }, 'impossible', /15.0 %.*team small is 10.0 %/]
]

for (const [name, item, reason, detail] of REJECTED) {
  test(`admission rejects an item and names the reason: ${name}`, (t) => {
    const admission = buildScheduler().admit(buildItem('r', item), 0)
    t.false(admission.isAdmitted)
    if (admission.isAdmitted) return
    t.is(admission.reason, reason)
    t.regex(admission.detail, detail)
  })
}

test('a queued request is not queued twice, and a request that holds capacity is rejected as a duplicate', (t) => {
  const scheduler = buildScheduler()
  t.true(scheduler.admit(buildItem('r'), 0).isAdmitted)
  t.true(scheduler.admit(buildItem('r'), 0).isAdmitted)
  t.is(scheduler.schedule(0, 10).length, 1)
  const again = scheduler.admit(buildItem('r', { attempt: 2 }), 0)
  t.is(again.isAdmitted ? '' : again.reason, 'duplicate')
})

test('items are admitted while capacity is idle, and rejected with a retry time when the estimated wait exceeds the limit', (t) => {
  const scheduler = new PoolShardScheduler()
  scheduler.applyPools([buildPool({ targetKind: 'executor', classes: { low: { maxQueueMs: 2_000 } } })], 0)
  scheduler.applyTargets([buildExecutor('e1', 8)], 0)
  const admit = (id: string): ReturnType<PoolShardScheduler['admit']> => scheduler.admit(buildItem(id, { urgency: 'low', runtimeMs: 60_000 }), 0)
  for (let index = 0; index < 8; index++) t.true(admit(`r${index}`).isAdmitted)
  scheduler.schedule(0, 100)
  const admission = admit('late')
  t.is(admission.isAdmitted ? '' : admission.reason, 'estimatedWaitTooLong')
  if (!admission.isAdmitted) t.true((admission.retryAfterMs ?? 0) >= 100)
  scheduler.releaseTask(toRequestId('r0'), 0, 'succeeded', 10)
  t.true(admit('next').isAdmitted)
})
