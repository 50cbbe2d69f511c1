import test from 'ava'
import { FakeClock } from '../src/fake-clock.js'

test('timers run in order of their due times, not of their creation', async (t) => {
  const clock = new FakeClock()
  const order: string[] = []
  clock.startTimer(20, () => { order.push('late') })
  clock.startTimer(10, () => { order.push('early') })
  await clock.advanceBy(30)
  t.deepEqual(order, ['early', 'late'])
})

test('a cancelled interval does not run again', async (t) => {
  const clock = new FakeClock()
  let runs = 0
  const timer = clock.startInterval(10, () => { runs++ })
  await clock.advanceBy(25)
  timer.cancel()
  await clock.advanceBy(100)
  t.is(runs, 2)
})
