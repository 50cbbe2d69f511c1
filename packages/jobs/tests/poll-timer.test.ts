import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { PollTimer } from '../src/poll-timer.js'

interface Fixture { readonly clock: FakeClock, readonly timer: PollTimer, readonly polls: number[], finish: () => void }

function createFixture (): Fixture {
  const clock = new FakeClock()
  const polls: number[] = []
  const startMs = clock.readMonotonicMs()
  let finishPoll = (): void => {}
  const timer = new PollTimer(clock, async () => {
    polls.push(clock.readMonotonicMs() - startMs)
    await new Promise<void>((resolve) => { finishPoll = resolve })
  })
  return { clock, timer, polls, finish: () => finishPoll() }
}

test('of several requests for the next poll, the earliest one takes effect', async (t) => {
  const { clock, timer, polls } = createFixture()
  timer.schedule(300)
  timer.schedule(100)
  timer.schedule(200)
  await clock.advanceBy(1_000)
  t.deepEqual(polls, [100])
})

// Guards against two concurrent waiting polls of one target, each of which has a cost.
test('no poll starts while another is in progress, and the next one starts after it', async (t) => {
  const { clock, timer, polls, finish } = createFixture()
  timer.schedule(0)
  await clock.advanceBy(10)
  timer.schedule(0)
  await clock.advanceBy(50)
  t.is(polls.length, 1)
  finish()
  await clock.advanceBy(1)
  timer.schedule(0)
  await clock.advanceBy(10)
  t.is(polls.length, 2)
})

test('no poll starts after the timer is stopped', async (t) => {
  const { clock, timer, polls } = createFixture()
  timer.schedule(10)
  timer.stop()
  timer.schedule(10)
  await clock.advanceBy(100)
  t.deepEqual(polls, [])
})
