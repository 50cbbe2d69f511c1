import { toIncarnation, toInstanceId, toUnitId } from '@hibiscusledge/runtime/identifiers.js'
import test from 'ava'
import ownershipChart from '../charts/ownership.json' with { type: 'json' }
import { OWNERSHIP_CHART, UnitLifecycle, type UnitEvent, type UnitState } from '../src/unit-lifecycle.js'

const EVENTS: readonly UnitEvent[] = ['ACQUIRE', 'ASSIGN', 'FAIL', 'STARTED', 'HAND_OVER', 'TRANSFER', 'ABORT', 'LOSE']
const OWNER = { instance: toInstanceId('1'), incarnation: toIncarnation('a'), epoch: 1, modRevision: 5 }

test('the state chart has exactly the transitions of its file and can reach every state', (t) => {
  const states = Object.entries(ownershipChart.states) as [UnitState, { on: Partial<Record<UnitEvent, UnitState>> }][]
  for (const [state, { on }] of states) {
    for (const event of EVENTS) t.is(OWNERSHIP_CHART.findNextState(state, event), on[event], `${state} ${event}`)
  }
  const reached = new Set<string>([OWNERSHIP_CHART.initial, ...states.flatMap(([, { on }]) => Object.values(on))])
  t.deepEqual([...reached].sort(), Object.keys(ownershipChart.states).sort())
})

test('a unit is authorized from its start until the write of a hand-over, and is not after it was dropped', (t) => {
  const lifecycle = new UnitLifecycle(toUnitId('partition/00'))
  const stopped: string[] = []
  const role = {
    startUnit: async () => {},
    prepareHandOver: async () => {},
    resumeUnit: async () => {},
    stopUnit: (unit: string) => { stopped.push(unit) }
  }
  const steps: [() => boolean, boolean][] = [
    [() => lifecycle.transition('ACQUIRE'), false],
    [() => lifecycle.assign(OWNER, role), false],
    [() => lifecycle.transition('STARTED'), true],
    [() => lifecycle.transition('HAND_OVER'), true],
    [() => lifecycle.transition('TRANSFER'), false],
    [() => lifecycle.drop(), false]
  ]
  for (const [apply, isAuthorized] of steps) {
    t.true(apply())
    t.is(lifecycle.isAuthorized(), isAuthorized)
  }
  t.false(lifecycle.drop())
  t.deepEqual(stopped, ['partition/00'])
})
