import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { RoundPacer } from '../src/round-pacer.js'

/** A clock that advances while a round runs, to simulate its processor time. */
class BusyClock extends FakeClock {
  #spentMs = 0

  spend (durationMs: number): void { this.#spentMs += durationMs }
  override readMonotonicMs (): number { return super.readMonotonicMs() + this.#spentMs }
}

test('requests made close together share one round', async (t) => {
  const clock = new FakeClock()
  let rounds = 0
  const pacer = new RoundPacer(clock, () => { rounds++ })
  for (let request = 0; request < 10; request++) pacer.request()
  await clock.advanceBy(20)
  t.is(rounds, 1)
})

// Guards against an owner that spends all processor time on placement, so that its lease is not renewed.
test('long rounds take at most a fifth of the processor time', async (t) => {
  const clock = new BusyClock()
  let rounds = 0
  const pacer = new RoundPacer(clock, () => {
    rounds++
    clock.spend(100)
  })
  const startedAtMs = clock.readMonotonicMs()
  while (clock.readMonotonicMs() - startedAtMs < 10_000) {
    pacer.request()
    await clock.advanceBy(5)
  }
  t.true(rounds * 100 <= 10_000 / 5 + 100, String(rounds))
  t.true(rounds > 10, String(rounds))
})

// A takeover with a backlog of a few hundred jobs. Guards against a pause of seconds after the first round, which is slow because
// its code has not run before in the process, while work waits and capacity is free.
test('a single long round does not delay the next one', async (t) => {
  const clock = new BusyClock()
  const startsMs: number[] = []
  const pacer = new RoundPacer(clock, () => {
    startsMs.push(clock.readMonotonicMs())
    clock.spend(startsMs.length === 1 ? 500 : 5)
  })
  for (let step = 0; step < 40; step++) {
    pacer.request()
    await clock.advanceBy(5)
  }
  const [first = 0, second = Number.POSITIVE_INFINITY] = startsMs
  t.true(second - first <= 500 + 50, String(startsMs))
})

test('no round runs after stop', async (t) => {
  const clock = new FakeClock()
  let rounds = 0
  const pacer = new RoundPacer(clock, () => { rounds++ })
  pacer.request()
  pacer.stop()
  pacer.request()
  await clock.advanceBy(1_000)
  t.is(rounds, 0)
})
