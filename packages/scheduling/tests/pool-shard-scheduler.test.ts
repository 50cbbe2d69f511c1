import { toRequestId, toTargetId } from '@hibiscusledge/runtime/identifiers.js'
import test from 'ava'
import type { Decision, StartDecision } from '../src/decision.js'
import { PoolShardScheduler } from '../src/pool-shard-scheduler.js'
import { buildExecutor, buildItem, buildPool, buildWorker } from './fixtures.js'

function listStarts (decisions: readonly Decision[]): StartDecision[] {
  return decisions.filter((decision) => decision.type === 'start')
}

test('an executor gets at most as many requests as it has slots, and the least loaded executor goes first', (t) => {
  const scheduler = new PoolShardScheduler()
  scheduler.applyPools([buildPool({ targetKind: 'executor' })], 0)
  scheduler.applyTargets([buildExecutor('e1', 2), buildExecutor('e2', 2)], 0)
  for (let index = 0; index < 6; index++) t.true(scheduler.admit(buildItem(`r${index}`), 0).isAdmitted)
  const starts = listStarts(scheduler.schedule(0, 100))
  t.deepEqual(starts.map((start) => start.targets[0]).sort(), ['e1', 'e1', 'e2', 'e2'].map(toTargetId))
  t.not(starts[0]?.targets[0], starts[1]?.targets[0])
  scheduler.releaseTask(toRequestId('r0'), 0, 'succeeded', 10)
  t.is(scheduler.schedule(10, 100).length, 1)
})

test('two pools that share workers never allocate the same capacity twice, also after a pool is replaced', (t) => {
  const scheduler = new PoolShardScheduler()
  scheduler.applyPools([buildPool({ name: 'a' }), buildPool({ name: 'b' })], 0)
  scheduler.applyTargets([buildWorker('w1')], 0)
  for (let index = 0; index < 20; index++) scheduler.admit(buildItem(`r${index}`, { pool: index % 2 === 0 ? 'a' : 'b' }), 0)
  t.is(listStarts(scheduler.schedule(0, 100)).length, 16)
  scheduler.applyPools([buildPool({ name: 'a' }), buildPool({ name: 'c' })], 0)
  scheduler.admit(buildItem('late', { pool: 'c' }), 0)
  t.is(listStarts(scheduler.schedule(0, 100)).length, 0)
})
