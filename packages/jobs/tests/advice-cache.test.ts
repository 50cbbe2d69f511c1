import test from 'ava'
import { AdviceCache } from '../src/advice-cache.js'

const STEP = 'aa.0.0'

function createCache (): AdviceCache {
  const cache = new AdviceCache()
  cache.markInFlight(STEP)
  cache.recordAnswer(STEP, ['t0', 't1', 't2'], [{ targetId: 't0', ticket: 'x' }, { targetId: 't1', ticket: 'y' }], 2_000)
  return cache
}

test('permitted targets stay known after their tickets have expired', (t) => {
  const cache = createCache()
  t.deepEqual(cache.listTicketed(STEP, 100), ['t0', 't1'])
  t.deepEqual(cache.listTicketed(STEP, 1_900), [])
  t.deepEqual(cache.listPermitted(STEP), ['t0', 't1'])
  t.is(cache.findTicket(STEP, 't0', 100), 'x')
  t.is(cache.findTicket(STEP, 't0', 1_900), undefined)
})

test('a refused ticket is not used again and its target stays permitted', (t) => {
  const cache = createCache()
  cache.expireTicket(STEP, 't0')
  t.deepEqual(cache.listTicketed(STEP, 100), ['t1'])
  t.true(cache.isPermitted(STEP, 't0'))
})

test('targets without advice are distinguished from targets that are not permitted', (t) => {
  t.deepEqual(createCache().listUnasked(STEP, ['t1', 't2', 't3']), ['t3'])
  t.deepEqual(new AdviceCache().listUnasked(STEP, ['t1']), ['t1'])
})

test('a step waits while a request is in flight and during the pause after a failed one', (t) => {
  const cache = new AdviceCache()
  t.false(cache.isWaiting(STEP, 0))
  cache.markInFlight(STEP)
  t.true(cache.isWaiting(STEP, 0))
  cache.recordFailure(STEP, 300)
  t.deepEqual([cache.isWaiting(STEP, 299), cache.isWaiting(STEP, 300), cache.hasAnswer(STEP)], [true, false, false])
})

test('the check for advice on more targets is paused for the given time', (t) => {
  const cache = createCache()
  t.true(cache.isCheckDue(STEP, 0))
  cache.pauseChecks(STEP, 200)
  t.deepEqual([cache.isCheckDue(STEP, 199), cache.isCheckDue(STEP, 200)], [false, true])
})
