import test from 'ava'
import type { Resources } from '../src/job.js'
import { PlacementRound, type WaitingStep } from '../src/placement-round.js'
import type { RunView, TargetView } from '../src/target-view.js'
import { WorkMeter } from '../src/turns/work-meter.js'
import { createStep, createWaiting } from './job-fixtures.js'

const NOW_MS = 10_000
const CAPACITY: Resources = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 }

function createTarget (id: string, runs: readonly RunView[] = [], values: Partial<TargetView> = {}): TargetView {
  const used = runs.reduce((sum, run) => sum + run.size.cpuMillis, 0)
  return {
    id, service: 'ledger', rack: 'r1', labels: ['a'], capacity: CAPACITY, free: { ...CAPACITY, cpuMillis: CAPACITY.cpuMillis - used }, runs, ...values
  }
}

function createSize (cpuMillis: number): Resources {
  return { cpuMillis, memoryMb: 1_000, accelerators: 0 }
}

interface Case {
  readonly title: string
  readonly targets: readonly TargetView[]
  readonly waiting: WaitingStep
  readonly expected: readonly string[]
}

const cases: readonly Case[] = [
  {
    title: 'tasks fill the target with the least free capacity',
    targets: [createTarget('t0'), createTarget('t1', [{ size: createSize(8_000), expectedEndMs: NOW_MS + 500 }])],
    waiting: createWaiting(createStep({ taskCount: 2, size: createSize(4_000) })),
    expected: ['t1', 't1']
  },
  {
    title: 'as many tasks as fit are placed, without exceeding the capacity of a target',
    targets: [createTarget('t0')],
    waiting: createWaiting(createStep({ taskCount: 5, size: createSize(4_500) })),
    expected: ['t0', 't0', 't0']
  },
  {
    title: 'a gang that does not fit whole is not placed at all',
    targets: [createTarget('t0')],
    waiting: createWaiting(createStep({ taskCount: 5, size: createSize(4_500), isGang: true })),
    expected: []
  },
  {
    title: 'targets without the label, of another service or not permitted are excluded',
    targets: [createTarget('t0', [], { labels: ['b'] }), createTarget('t1', [], { service: 'other' }), createTarget('t2'), createTarget('t3')],
    waiting: createWaiting(createStep({ requiredLabel: 'a' }), { permittedIds: ['t0', 't1', 't3'] }),
    expected: ['t3']
  },
  {
    title: 'tasks already on a target count towards the limit of the step',
    targets: [createTarget('t0'), createTarget('t1')],
    waiting: createWaiting(createStep({ taskCount: 3, maximumPerTarget: 2 }), { countByTarget: new Map([['t0', 1]]) }),
    expected: ['t0', 't1', 't1']
  },
  {
    title: 'a task avoids the target on which it failed if there is another',
    targets: [createTarget('t0'), createTarget('t1')],
    waiting: createWaiting(createStep(), { avoided: new Set(['t0']) }),
    expected: ['t1']
  },
  {
    title: 'a gang that has failed waits rather than use a target on which a member failed',
    targets: [createTarget('t0'), createTarget('t1')],
    waiting: createWaiting(createStep({ taskCount: 5, size: createSize(4_500), isGang: true }), { avoided: new Set(['t0']), excluded: new Set(['t0']) }),
    expected: []
  },
  {
    title: 'a task that has failed on every target runs on one of them again',
    targets: [createTarget('t0')],
    waiting: createWaiting(createStep(), { avoided: new Set(['t0']), excluded: new Set(['t0']) }),
    expected: ['t0']
  },
  {
    title: 'a gang that prefers one rack is placed in a rack where it fits',
    targets: [createTarget('t0', [], { rack: 'r1' }), createTarget('t1', [], { rack: 'r2' }), createTarget('t2', [], { rack: 'r2' })],
    waiting: createWaiting(createStep({ taskCount: 5, size: createSize(4_500), isGang: true, prefersOneRack: true })),
    expected: ['t1', 't1', 't1', 't2', 't2']
  },
  {
    title: 'a task is placed in the rack of its data',
    targets: [createTarget('t0', [{ size: createSize(8_000), expectedEndMs: NOW_MS }]), createTarget('t1', [], { rack: 'r2' })],
    waiting: createWaiting(createStep({ dataRack: 'r2' })),
    expected: ['t1']
  }
]

for (const { title, targets, waiting, expected } of cases) {
  test(title, (t) => {
    const placements = new PlacementRound(NOW_MS, targets).place(waiting)
    t.deepEqual(placements.map((placement) => placement.targetId).sort(), [...expected].sort())
  })
}

// Month-close reconciliations are gangs of large tasks. Guards against a burst of small postings in which they never fit at once.
test('long small tasks do not use the capacity that a waiting gang has reserved, and short ones do', (t) => {
  const ending = { size: createSize(12_000), expectedEndMs: NOW_MS + 1_000 }
  const round = new PlacementRound(NOW_MS, [createTarget('t0', [ending]), createTarget('t1', [ending])])
  const gang = createWaiting(createStep({ taskCount: 6, size: createSize(4_500), isGang: true, estimatedMs: 4_000 }))
  t.deepEqual(round.place(gang), [])
  t.deepEqual(round.place(createWaiting(createStep({ taskCount: 4, size: createSize(3_000), estimatedMs: 2_700 }))), [])
  t.is(round.place(createWaiting(createStep({ taskCount: 2, size: createSize(1_400), estimatedMs: 640 }))).length, 2)
})

test('a gang reserves no capacity on targets that it does not need', (t) => {
  const ending = { size: createSize(12_000), expectedEndMs: NOW_MS + 1_000 }
  const round = new PlacementRound(NOW_MS, [createTarget('t0', [ending]), createTarget('t1', [ending]), createTarget('t2', [ending])])
  const gang = createWaiting(createStep({ taskCount: 3, size: createSize(4_500), isGang: true }), { permittedIds: ['t0'] })
  t.deepEqual(round.place(gang), [])
  t.is(round.place(createWaiting(createStep({ taskCount: 2, size: createSize(4_000), estimatedMs: 2_700 }))).length, 2)
})

// Guards against counting capacity reserved by another gang as free because the first gang's reservation was discarded twice.
test('considering a gang with and without its tickets does not discard the previous reservation of another gang', (t) => {
  const ending = { size: createSize(12_000), expectedEndMs: NOW_MS + 1_000 }
  const targets = [createTarget('t0', [ending])]
  const holding = createWaiting(createStep({ taskCount: 1, size: createSize(8_000), isGang: true, estimatedMs: 4_000 }))
  const first = new PlacementRound(NOW_MS, targets)
  first.place({ ...holding, stepName: 'first.0.0' })
  first.place({ ...holding, stepName: 'second.0.0' })
  t.deepEqual([...first.listReservations().keys()], ['first.0.0', 'second.0.0'])
  const next = new PlacementRound(NOW_MS, targets, first.listReservations())
  for (const keepsRoom of [false, false]) next.place({ ...holding, stepName: 'first.0.0', reservesCapacity: keepsRoom })
  t.deepEqual(next.place(createWaiting(createStep({ size: createSize(1_000) }), { canWait: true })), [])
})

// Guards against capacity that stays idle for a gang whose other capacity is not expected back (the same fault as review/6).
test('a gang reserves no capacity beside a run that is far overdue', (t) => {
  const createRound = (overdueMs: number): PlacementRound => {
    return new PlacementRound(NOW_MS, [createTarget('t0', [{ size: createSize(12_000), expectedEndMs: NOW_MS + 60, overdueMs }])])
  }
  const gang = createWaiting(createStep({ taskCount: 3, size: createSize(4_500), isGang: true }))
  for (const [overdueMs, placed] of [[4_000, 0], [11_000, 1]] as const) {
    const round = createRound(overdueMs)
    t.deepEqual(round.place(gang), [])
    t.is(round.place(createWaiting(createStep({ size: createSize(4_000), estimatedMs: 5_000 }))).length, placed, String(overdueMs))
  }
})

// Guards against a task that lasts and is not restarted for as long as the estimate of a run for which a gang waits.
test('a task that lasts does not wait for a gang that is expected to start much later', (t) => {
  for (const [endsInMs, placed] of [[5_000, 0], [60_000, 1]] as const) {
    const round = new PlacementRound(NOW_MS, [createTarget('t0', [{ size: createSize(12_000), expectedEndMs: NOW_MS + endsInMs }])])
    t.deepEqual(round.place(createWaiting(createStep({ taskCount: 3, size: createSize(4_500), isGang: true }))), [])
    t.deepEqual(round.place(createWaiting(createStep({ size: createSize(4_000), estimatedMs: 50_000 }))), [])
    t.is(round.place(createWaiting(createStep({ size: createSize(4_000), isLongRunning: true }))).length, placed, String(endsInMs))
  }
})

const NOTHING: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** Creates four targets, each with a run that leaves no room for a task of a whole target. */
function createBusyTargets (values: Partial<TargetView> = {}): TargetView[] {
  return ['t0', 't1', 't2', 't3'].map((id) => createTarget(id, [{ size: createSize(9_000), expectedEndMs: NOW_MS + 5_000 }], values))
}

// Guards against a round that never ends and fills the heap (review/15): places for a task that requests nothing were listed without end.
test('a gang that requests nothing and fits on no target reserves a place for each member', (t) => {
  const round = new PlacementRound(NOW_MS, createBusyTargets({ free: { ...CAPACITY, cpuMillis: -1_000 } }))
  t.deepEqual(round.place(createWaiting(createStep({ taskCount: 3, size: NOTHING, isGang: true }))), [])
  t.deepEqual([...round.listReservations().get('aa.0.0') ?? []], [['t0', { taskCount: 3, size: NOTHING }]])
})

test('a gang that requests nothing starts beside one that has reserved all capacity', (t) => {
  const round = new PlacementRound(NOW_MS, createBusyTargets())
  const large = createWaiting(createStep({ taskCount: 4, size: createSize(16_000), isGang: true }))
  t.deepEqual(round.place(large), [])
  t.is(round.listReservations().get('aa.0.0')?.size, 4)
  const nothing = createStep({ taskCount: 2, size: NOTHING, isGang: true, estimatedMs: 100_000 })
  t.is(round.place(createWaiting(nothing, { stepName: 'bb.0.0' })).length, 2)
})

// Guards against reservations that differ from the places that the targets will have: they are counted in groups.
test('a gang reserves on each target what becomes free there first, and on the targets of the round before', (t) => {
  const targets = [
    createTarget('t0', [{ size: createSize(4_000), expectedEndMs: NOW_MS + 100 }, { size: createSize(12_000), expectedEndMs: NOW_MS + 900 }]),
    createTarget('t1', [{ size: createSize(16_000), expectedEndMs: NOW_MS + 500 }])
  ]
  const gang = createWaiting(createStep({ taskCount: 4, size: createSize(4_000), isGang: true }))
  const first = new PlacementRound(NOW_MS, targets)
  t.deepEqual(first.place(gang), [])
  const reserved = [...first.listReservations().get('aa.0.0') ?? []].map(([id, { taskCount }]) => [id, taskCount])
  t.deepEqual(reserved, [['t0', 1], ['t1', 3]])
  const late = targets.map((target) => target.id === 't1' ? { ...target, runs: [{ size: createSize(16_000), expectedEndMs: NOW_MS + 1_400 }] } : target)
  const second = new PlacementRound(NOW_MS, late, first.listReservations())
  t.deepEqual(second.place(gang), [])
  t.deepEqual([...second.listReservations().get('aa.0.0') ?? []].map(([id, { taskCount }]) => [id, taskCount]), [['t0', 1], ['t1', 3]])
})

// Guards against a round that places so many tasks of next to no size that the owner loses its lease.
test('a round that has looked at very many candidates leaves the remaining tasks to the next one', (t) => {
  const targets = Array.from({ length: 400 }, (_, index) => createTarget(`t${index}`))
  const work = new WorkMeter()
  const round = new PlacementRound(NOW_MS, targets, undefined, { work, placements: Number.POSITIVE_INFINITY })
  const tiny = createStep({ taskCount: 3_000, size: { cpuMillis: 1, memoryMb: 0, accelerators: 0 } })
  let placed = 0
  for (let index = 0; index < 20; index++) placed += round.place(createWaiting(tiny, { stepName: `a${index}.0.0` })).length
  t.true(round.isExhausted())
  t.true(placed > 1_000 && placed < 1_300, String(placed))
  t.true(work.readTotal() < 510_000, String(work.readTotal()))
})

// Guards against targets whose reports list so many runs of tasks without a size that the owner can't follow them.
test('a target gets a limited number of tasks of next to no size, and others beside them', (t) => {
  const runs = Array.from({ length: 2_999 }, () => ({ size: NOTHING, expectedEndMs: NOW_MS + 500 }))
  const round = new PlacementRound(NOW_MS, [createTarget('t0', runs)])
  t.is(round.place(createWaiting(createStep({ taskCount: 9, size: NOTHING }))).length, 1)
  t.is(round.place(createWaiting(createStep({ taskCount: 2, size: createSize(1_000) }), { stepName: 'bb.0.0' })).length, 2)
  t.is(round.place(createWaiting(createStep({ taskCount: 2, size: NOTHING, isGang: true }), { stepName: 'cc.0.0' })).length, 0)
})

// Guards against starts that wait in the process until they are too late, and are placed again and again: tasks that request nothing
// were placed without regard to the starts that have no answer yet.
test('a round places no more tasks than it may, but a whole gang', (t) => {
  const budget = { work: new WorkMeter(), placements: 50 }
  const single = createWaiting(createStep({ taskCount: 80, size: NOTHING }))
  const gang = createWaiting(createStep({ taskCount: 80, size: NOTHING, isGang: true }), { stepName: 'bb.0.0' })
  const first = new PlacementRound(NOW_MS, [createTarget('t0')], undefined, budget)
  t.is(first.place(single).length, 50)
  t.true(first.isExhausted())
  const second = new PlacementRound(NOW_MS, [createTarget('t0')], undefined, budget)
  t.is(second.place(gang).length, 80)
  t.is(second.place(single).length, 0)
})

test('a target with very many starts without an answer gets no more single tasks, and another does', (t) => {
  const targets = [createTarget('t0', [], { unconfirmedStarts: 199 }), createTarget('t1', [{ size: NOTHING, expectedEndMs: NOW_MS + 500 }])]
  const placed = new PlacementRound(NOW_MS, targets).place(createWaiting(createStep({ taskCount: 9, size: NOTHING })))
  t.deepEqual(placed.map(({ targetId }) => targetId), ['t0', ...new Array<string>(8).fill('t1')])
})
