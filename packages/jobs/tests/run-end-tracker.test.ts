import test from 'ava'
import { RunEndTracker } from '../src/run-end-tracker.js'
import type { ReportedEnd } from '../src/target-gateway.js'

function createRow (number: number): ReportedEnd {
  return { number, taskName: `aa.0.0.${number}`, run: 1_001, outcome: 'done', checkpoint: '' }
}

// Guards against ended runs that a target drops before they are stored, so that the next owner runs their tasks again.
test('ended runs are acknowledged only once they are stored', (t) => {
  const ends = new RunEndTracker(10)
  const stored: (() => void)[] = []
  ends.acknowledge([createRow(1), createRow(2)], (callback) => { stored.push(callback) })
  t.is(ends.readDroppableEnd(), 0)
  t.deepEqual(ends.selectNew([createRow(1), createRow(2), createRow(3)]).map(({ number }) => number), [3])
  for (const callback of stored) callback()
  t.is(ends.readDroppableEnd(), 2)
})

// Guards against acknowledging ended runs of a restarted target by the numbers of its earlier incarnation (review/3): it is enough to
// acknowledge them once.
test('ended runs that the target has dropped are not acknowledged again', (t) => {
  const ends = new RunEndTracker(10)
  ends.acknowledge([createRow(1), createRow(2)], (callback) => { callback() })
  ends.confirmDropped(2)
  t.is(ends.readDroppableEnd(), 0)
  ends.acknowledge([createRow(3)], (callback) => { callback() })
  t.is(ends.readDroppableEnd(), 3)
})

test('ended runs are remembered up to a maximum number', (t) => {
  const ends = new RunEndTracker(2)
  for (const key of ['a', 'b', 'c']) ends.rememberEndedRun(key)
  t.deepEqual(['a', 'b', 'c'].map((key) => ends.hasEnded(key)), [false, true, true])
})
