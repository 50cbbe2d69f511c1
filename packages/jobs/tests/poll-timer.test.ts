import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { PollTimer } from '../src/poll-timer.js'

interface Fixture { readonly clock: FakeClock, readonly timer: PollTimer, readonly polls: number[], finish: () => void }

function createFixture (): Fixture {
  const clock = new FakeClock()
  const looks: number[] = []
  const startMs = clock.readMonotonicMs()
  let finishLook = (): void => {}
  const timer = new PollTimer(clock, async () => {
    looks.push(clock.readMonotonicMs() - startMs)
    await new Promise<void>((resolve) => { finishLook = resolve })
  })
  return { clock, timer, polls: looks, finish: () => finishLook() }
}

test('of several requests the earliest counts', async (t) => {
  const { clock, timer, polls: looks } = createFixture()
  timer.schedule(300)
  timer.schedule(100)
  timer.schedule(200)
  await clock.advanceBy(1_000)
  t.deepEqual(looks, [100])
})

// Guards against two waiting looks at one target, each of which has a price.
test('no look begins while one is under way, and the next begins after it', async (t) => {
  const { clock, timer, polls: looks, finish } = createFixture()
  timer.schedule(0)
  await clock.advanceBy(10)
  timer.schedule(0)
  await clock.advanceBy(50)
  t.is(looks.length, 1)
  finish()
  await clock.advanceBy(1)
  timer.schedule(0)
  await clock.advanceBy(10)
  t.is(looks.length, 2)
})

test('no look begins after the stop', async (t) => {
  const { clock, timer, polls: looks } = createFixture()
  timer.schedule(10)
  timer.stop()
  timer.schedule(10)
  await clock.advanceBy(100)
  t.deepEqual(looks, [])
})
