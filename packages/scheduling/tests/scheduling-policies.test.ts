import { type RequestId, toRequestId, toTargetId } from '@hibiscusledge/runtime/identifiers.js'
import test from 'ava'
import type { Decision, StartDecision } from '../src/decision.js'
import type { PoolPolicy } from '../src/pool-policy.js'
import { PoolShardScheduler } from '../src/pool-shard-scheduler.js'
import type { Target } from '../src/target.js'
import { buildExecutor, buildItem, buildPool, buildWorker } from './fixtures.js'

function buildScheduler (targets: readonly Target[], pool: PoolPolicy = buildPool()): PoolShardScheduler {
  const scheduler = new PoolShardScheduler()
  scheduler.applyPools([pool], 0)
  scheduler.applyTargets(targets, 0)
  return scheduler
}

function listStarts (decisions: readonly Decision[]): StartDecision[] {
  return decisions.filter((decision) => decision.type === 'start')
}

function listStartedIds (decisions: readonly Decision[]): RequestId[] {
  return listStarts(decisions).map((start) => start.item.requestId)
}

const EXECUTOR_POOL = buildPool({ targetKind: 'executor' })

test('within a class the team with the lowest quota use goes first, and within a team the item with the earliest deadline', (t) => {
  const scheduler = buildScheduler([buildExecutor('e1', 4)], buildPool({ targetKind: 'executor', teamQuotas: { big: 100, small: 50 } }))
  scheduler.admit(buildItem('big-late', { team: 'big', deadlineAtMs: 9_000 }), 0)
  scheduler.admit(buildItem('big-early', { team: 'big', deadlineAtMs: 8_000 }), 0)
  scheduler.admit(buildItem('small-1', { team: 'small', deadlineAtMs: 10_000 }), 0)
  scheduler.admit(buildItem('small-2', { team: 'small', deadlineAtMs: 11_000 }), 0)
  t.deepEqual(listStartedIds(scheduler.schedule(0, 10)), ['big-early', 'small-1', 'big-late', 'small-2'].map(toRequestId))
})

test('a flood of low items leaves slots above the class limit free, and a flood of urgent items leaves the low class its floor', (t) => {
  const scheduler = buildScheduler([buildExecutor('e1', 10)], buildPool({
    targetKind: 'executor', classes: { low: { floorPercent: 20, limitPercent: 60 } }
  }))
  for (let index = 0; index < 20; index++) scheduler.admit(buildItem(`low${index}`, { urgency: 'low' }), 0)
  t.is(scheduler.schedule(0, 100).length, 6)
  for (let index = 0; index < 20; index++) scheduler.admit(buildItem(`urgent${index}`, { urgency: 'urgent' }), 1)
  t.is(scheduler.schedule(1, 100).length, 4)
  for (let index = 0; index < 5; index++) scheduler.releaseTask(toRequestId(`low${index}`), 0, 'succeeded', 2)
  const started = listStartedIds(scheduler.schedule(2, 100))
  t.is(started.filter((id) => id.startsWith('low')).length, 1)
  t.is(started.filter((id) => id.startsWith('urgent')).length, 4)
})

test('services of the same kind are spread over racks', (t) => {
  const scheduler = buildScheduler(['r1', 'r1', 'r2', 'r3'].map((rack, index) => buildWorker(`w${index}`, { rack })))
  for (let index = 0; index < 3; index++) scheduler.admit(buildItem(`s${index}`, { isService: true }), 0)
  const racks = listStarts(scheduler.schedule(0, 10)).map((start) => ['r1', 'r1', 'r2', 'r3'][Number(start.targets[0]?.slice(1))])
  t.deepEqual(racks.sort(), ['r1', 'r2', 'r3'])
})

test('tasks that need no accelerators are placed on workers without accelerators first', (t) => {
  const scheduler = buildScheduler([buildWorker('acc', { capacity: { cores: 16, memoryMb: 65_536, accelerators: 4 } }), buildWorker('plain')])
  scheduler.admit(buildItem('r'), 0)
  t.deepEqual(listStarts(scheduler.schedule(0, 10))[0]?.targets, [toTargetId('plain')])
})

test('a blocked gang gets a reservation, and smaller items backfill its targets only if they end before it starts', (t) => {
  const scheduler = buildScheduler([buildWorker('w1'), buildWorker('w2')])
  const half = { cores: 8, memoryMb: 1_024, accelerators: 0 }
  for (let index = 0; index < 2; index++) scheduler.admit(buildItem(`run${index}`, { resources: { ...half, cores: 9 }, runtimeMs: 10_000 }), 0)
  t.is(scheduler.schedule(0, 10).length, 2)
  scheduler.admit(buildItem('gang', { taskCount: 4, resources: half, deadlineAtMs: 100_000 }), 0)
  t.is(scheduler.schedule(0, 10).length, 0)
  scheduler.admit(buildItem('long', { resources: { ...half, cores: 4 }, runtimeMs: 60_000 }), 0)
  scheduler.admit(buildItem('short', { resources: { ...half, cores: 4 }, runtimeMs: 5_000 }), 0)
  t.deepEqual(listStartedIds(scheduler.schedule(1, 10)), [toRequestId('short')])
  t.regex(scheduler.explainWait(toRequestId('gang'), 1)?.reason ?? '', /reserved for it/)
  for (const id of ['run0', 'run1', 'short']) scheduler.releaseTask(toRequestId(id), 0, 'succeeded', 10_000)
  const [gang] = listStarts(scheduler.schedule(10_000, 10))
  t.is(gang?.item.requestId, toRequestId('gang'))
  t.is(gang?.targets.length, 4)
})

test('tasks are placed by their learned size plus headroom, limited to the size of a worker', (t) => {
  const scheduler = buildScheduler([buildWorker('w1'), buildWorker('w2')])
  scheduler.admit(buildItem('teach', { kind: 'k', resources: { cores: 1, memoryMb: 100, accelerators: 0 } }), 0)
  scheduler.schedule(0, 1)
  for (let index = 0; index < 5; index++) scheduler.recordUsage(toRequestId('teach'), 0, { cores: 15, memoryMb: 100, accelerators: 0 }, index)
  for (let index = 0; index < 3; index++) scheduler.admit(buildItem(`r${index}`, { kind: 'k' }), 10)
  const starts = listStarts(scheduler.schedule(10, 10))
  t.deepEqual(starts.map((start) => start.targets), [[toTargetId('w2')]])
})

test('a blocked urgent task preempts resumable work of the lowest class, and never work that cannot be resumed', (t) => {
  const scheduler = buildScheduler([buildWorker('w1'), buildWorker('w2')])
  const whole = { cores: 16, memoryMb: 1_024, accelerators: 0 }
  scheduler.admit(buildItem('fixed', { urgency: 'low', resources: whole, runtimeMs: 60_000 }), 0)
  scheduler.admit(buildItem('resumable', { urgency: 'low', resources: whole, runtimeMs: 60_000, isResumable: true }), 0)
  scheduler.schedule(0, 10)
  scheduler.admit(buildItem('urgent', { urgency: 'urgent', enqueuedAtMs: 10 }), 10)
  t.deepEqual(scheduler.schedule(10, 10), [{
    type: 'preempt', requestId: toRequestId('resumable'), action: 'checkpoint', preemptor: toRequestId('urgent')
  }])
  t.is(scheduler.schedule(200, 10).length, 0)
  scheduler.releaseTask(toRequestId('resumable'), 0, 'refused', 500)
  t.deepEqual(listStartedIds(scheduler.schedule(500, 10)), [toRequestId('urgent')])
})

// Guards against healthy targets in quarantine after a time in which no start could be sent, for example while the store is away.
test('starts that are withdrawn before they are sent do not count as failures of the target', (t) => {
  const scheduler = buildScheduler(['e0', 'e1', 'e2', 'e3'].map((id) => buildExecutor(id, 1)), EXECUTOR_POOL)
  const served = new Set<string>()
  for (let round = 1; round <= 60; round++) {
    const nowMs = round * 10
    for (let index = 0; index < 4; index++) scheduler.admit(buildItem(`r${nowMs}-${index}`, { deadlineAtMs: nowMs + 5 }), nowMs)
    served.clear()
    for (const { item, targets: [target = ''] } of listStarts(scheduler.schedule(nowMs, 10))) {
      served.add(target)
      scheduler.releaseTask(item.requestId, 0, target === 'e0' || target === 'e1' ? 'withdrawn' : 'succeeded', nowMs + 1)
    }
  }
  t.is(served.size, 4)
})

test('a target that fails all its tasks is quarantined within the cap of a quarter of the pool, until probes succeed', (t) => {
  const scheduler = buildScheduler(['e0', 'e1', 'e2', 'e3'].map((id) => buildExecutor(id, 1)), EXECUTOR_POOL)
  const failing = new Set(['e0', 'e1'])
  const served = new Set<string>()
  let probes = 0
  let nowMs = 0
  const run = (rounds: number): void => {
    for (let round = 0; round < rounds; round++) {
      nowMs += 10
      for (let index = 0; index < 4; index++) scheduler.admit(buildItem(`r${nowMs}-${index}`, { deadlineAtMs: nowMs + 5 }), nowMs)
      served.clear()
      for (const { item, targets: [target = ''], isProbe } of listStarts(scheduler.schedule(nowMs, 10))) {
        if (isProbe) probes++
        served.add(target)
        scheduler.releaseTask(item.requestId, 0, failing.has(target) ? 'failed' : 'succeeded', nowMs + 1)
      }
    }
  }
  run(40)
  t.is(served.size, 3)
  t.is(probes, 0)
  failing.clear()
  run(400)
  t.true(probes >= 2)
  t.is(served.size, 4)
})

test('retries are limited to a small minimum plus a tenth of first attempts, by pool and customer', (t) => {
  const scheduler = buildScheduler([buildExecutor('e1', 8)], EXECUTOR_POOL)
  const countRetries = (): number => Array.from({ length: 50 }, () => scheduler.claimRetry(buildItem('retry'), 0)).filter(Boolean).length
  t.is(countRetries(), 3)
  for (let index = 0; index < 100; index++) scheduler.admit(buildItem(`r${index}`), 0)
  t.is(countRetries(), 10)
  t.true(scheduler.claimRetry(buildItem('other', { pool: 'other', customer: 'other' }), 0))
})

test('a busy target whose progress counter does not advance gets no new work until it does, and one whose counter advances does', (t) => {
  const scheduler = buildScheduler([buildExecutor('e1', 2), buildExecutor('e2', 2)], EXECUTOR_POOL)
  for (let nowMs = 0; nowMs <= 3_000; nowMs += 500) {
    scheduler.recordProgress(toTargetId('e1'), 7, 2, nowMs)
    scheduler.recordProgress(toTargetId('e2'), nowMs, 0, nowMs)
  }
  for (let index = 0; index < 4; index++) scheduler.admit(buildItem(`r${index}`), 3_000)
  t.deepEqual(listStarts(scheduler.schedule(3_000, 10)).map((start) => start.targets[0]), ['e2', 'e2'].map(toTargetId))
  scheduler.recordProgress(toTargetId('e1'), 8, 0, 3_500)
  scheduler.recordProgress(toTargetId('e1'), 9, 0, 4_000)
  t.is(listStarts(scheduler.schedule(4_000, 10)).length, 2)
})

test('a suspended or leaving target gets no new work, and a target missing from the list stays charged until release', (t) => {
  const scheduler = buildScheduler([buildExecutor('e1', 1)], EXECUTOR_POOL)
  scheduler.suspendTarget(toTargetId('e1'), 1_000)
  scheduler.admit(buildItem('r1'), 0)
  t.is(scheduler.schedule(0, 10).length, 0)
  scheduler.applyTargets([buildExecutor('e1', 1)], 500)
  t.is(scheduler.schedule(500, 10).length, 0)
  scheduler.applyTargets([buildExecutor('e1', 1)], 1_000)
  t.is(scheduler.schedule(1_000, 10).length, 1)
  scheduler.applyTargets([], 1_500)
  scheduler.applyTargets([buildExecutor('e1', 1)], 2_000)
  scheduler.admit(buildItem('r2'), 2_000)
  t.is(scheduler.schedule(2_000, 10).length, 0)
  scheduler.applyTargets([buildExecutor('e1', 1, { state: 'leaving' })], 2_500)
  scheduler.releaseTask(toRequestId('r1'), 0, 'succeeded', 2_500)
  t.is(scheduler.schedule(2_500, 10).length, 0)
})

test('the capacity of a recovered start is charged even if its target is listed only later', (t) => {
  for (const [target, pool] of [[buildExecutor('t', 1), EXECUTOR_POOL], [buildWorker('t'), buildPool()]] as const) {
    const scheduler = new PoolShardScheduler()
    const item = buildItem('old', { resources: { cores: 16, memoryMb: 1, accelerators: 0 } })
    scheduler.recoverStart({ item, targets: [target.id], startedAtMs: 0 })
    scheduler.applyPools([pool], 0)
    scheduler.applyTargets([target], 0)
    scheduler.admit(buildItem('new'), 0)
    t.is(scheduler.schedule(0, 10).length, 0)
    scheduler.releaseTask(toRequestId('old'), 0, 'succeeded', 1)
    t.is(scheduler.schedule(1, 10).length, 1)
  }
})

test('items leave the queue exactly once by start, cancellation, expiry or hand-over, and loads and explanations reflect the queue', (t) => {
  const scheduler = buildScheduler([buildExecutor('e1', 1)], EXECUTOR_POOL)
  for (const id of ['a', 'b', 'c', 'd']) scheduler.admit(buildItem(id, { runtimeMs: 10, deadlineAtMs: id === 'b' ? 100 : 1_000 }), 0)
  t.deepEqual(listStartedIds(scheduler.schedule(0, 10)), [toRequestId('b')])
  scheduler.admit(buildItem('e', { deadlineAtMs: 50, runtimeMs: 1 }), 1)
  t.deepEqual(scheduler.cancelQueued(['a', 'b', 'unknown'].map(toRequestId)), [toRequestId('a')])
  t.is(scheduler.reportLoads(1)[0]?.queued.normal, 3)
  t.is(scheduler.reportLoads(1)[0]?.freeShare, 0)
  t.is(scheduler.explainWait(toRequestId('d'), 1)?.position, 3)
  t.regex(scheduler.explainWait(toRequestId('e'), 1)?.reason ?? '', /no target has enough free capacity/)
  t.deepEqual(scheduler.schedule(60, 10).map((decision) => decision.type), ['expire'])
  t.deepEqual(scheduler.drainQueue().map((item) => item.requestId), ['c', 'd'].map(toRequestId))
  t.is(scheduler.schedule(2_000, 10).length, 0)
})

test('an item that would exceed the limit of its class or the quota of its team waits, and the explanation names that limit', (t) => {
  const pool = buildPool({ teamQuotas: { small: 50 }, classes: { low: { limitPercent: 50 } } })
  for (const [item, reason] of [[{ urgency: 'low' }, /class low .* 50 %/], [{ team: 'small' }, /team small .* 50.0 %/]] as const) {
    const scheduler = buildScheduler([buildWorker('w1')], pool)
    const resources = { cores: 6, memoryMb: 1, accelerators: 0 }
    for (const id of ['a', 'b']) scheduler.admit(buildItem(id, { ...item, resources }), 0)
    t.deepEqual(listStartedIds(scheduler.schedule(0, 10)), [toRequestId('a')])
    t.regex(scheduler.explainWait(toRequestId('b'), 0)?.reason ?? '', reason)
    scheduler.releaseTask(toRequestId('a'), 0, 'succeeded', 1)
    t.deepEqual(listStartedIds(scheduler.schedule(1, 10)), [toRequestId('b')])
  }
})
