import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { PacedQueue } from '../src/turns/paced-queue.js'

// Guards against an owner that blocks for longer than its lease while it sends the orders of a gang of thousands of tasks.
test('actions run at once up to a number a turn, and the others in order in the next turns', async (t) => {
  const clock = new FakeClock()
  const queue = new PacedQueue(clock, 10)
  const ran: number[] = []
  for (let index = 0; index < 25; index++) queue.run(() => { ran.push(index) })
  t.is(ran.length, 10)
  await clock.advanceBy(0)
  queue.run(() => { ran.push(25) })
  t.deepEqual(ran, Array.from({ length: 26 }, (_, index) => index))
  await clock.advanceBy(1)
  queue.run(() => { ran.push(26) })
  t.is(ran.length, 27)
})

test('an action that adds another leaves it for the turn that has room', async (t) => {
  const clock = new FakeClock()
  const queue = new PacedQueue(clock, 2)
  let count = 0
  const again = (): void => {
    if (++count < 7) queue.run(again)
  }
  queue.run(again)
  t.is(count, 2)
  await clock.advanceBy(1)
  t.is(count, 7)
})
