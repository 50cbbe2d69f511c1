import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { RoundPacer } from '../src/round-pacer.js'

/** A clock on which a round takes time, as it does on a processor. */
class BusyClock extends FakeClock {
  #spentMs = 0

  spend (durationMs: number): void { this.#spentMs += durationMs }
  override readMonotonicMs (): number { return super.readMonotonicMs() + this.#spentMs }
}

test('requests close together share one round', async (t) => {
  const clock = new FakeClock()
  let rounds = 0
  const pacer = new RoundPacer(clock, () => { rounds++ })
  for (let request = 0; request < 10; request++) pacer.request()
  await clock.advanceBy(20)
  t.is(rounds, 1)
})

// Guards against an owner whose processor goes into placement alone, so that its lease is not renewed.
test('long rounds take at most a fifth of the time', async (t) => {
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

test('no round runs after the stop', async (t) => {
  const clock = new FakeClock()
  let rounds = 0
  const pacer = new RoundPacer(clock, () => { rounds++ })
  pacer.request()
  pacer.stop()
  pacer.request()
  await clock.advanceBy(1_000)
  t.is(rounds, 0)
})
