import test from 'ava'
import { VirtualClock } from '../src/virtual-clock.js'

test('timers run in order of their times, and in order of their start at the same time', async (t) => {
  const clock = new VirtualClock()
  const order: string[] = []
  for (const [name, delayMs] of [['c', 30], ['a', 10], ['b', 20], ['b2', 20], ['d', 40]] as const) {
    clock.startTimer(delayMs, () => { order.push(`${name}@${clock.readMonotonicMs()}`) })
  }
  clock.startTimer(15, () => { order.push('cancelled') }).cancel()
  await clock.runUntil(35)
  t.deepEqual(order, ['a@10', 'b@20', 'b2@20', 'c@30'])
  t.is(clock.readMonotonicMs(), 35)
})

test('an interval repeats until it is cancelled, and promises settle between timers', async (t) => {
  const clock = new VirtualClock()
  const atMs: number[] = []
  const interval = clock.startInterval(10, () => { atMs.push(clock.readMonotonicMs()) })
  void clock.wait(25).then(() => { interval.cancel() })
  await clock.runUntil(100)
  t.deepEqual(atMs, [10, 20])
})
