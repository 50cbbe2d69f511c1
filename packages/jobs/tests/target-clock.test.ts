import test from 'ava'
import { TargetClock } from '../src/target-clock.js'

// Guards against leases that last longer than intended: the estimate must never be later than the target's own clock.
test('the estimate is a lower bound for a clock that runs slow', (t) => {
  const clock = new TargetClock()
  t.is(clock.estimate(1_000), undefined)
  clock.update(500, 1_000)
  for (const passedMs of [0, 100, 10_000]) t.true((clock.estimate(1_000 + passedMs) ?? Infinity) <= 500 + passedMs * 0.98)
})

test('an answer that arrives out of order does not set the estimate back', (t) => {
  const clock = new TargetClock()
  clock.update(5_000, 1_000)
  clock.update(4_000, 1_010)
  t.true((clock.estimate(1_010) ?? 0) >= 5_000)
  clock.reset()
  t.is(clock.estimate(1_010), undefined)
})
