import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { AuthorityTracker } from '../src/authority-tracker.js'
import { DEFAULT_PEER_TIMINGS } from '../src/peer-timings.js'
import { PromiseGranter } from '../src/promise-granter.js'

function createKeeper (required: readonly string[]): { clock: FakeClock, keeper: AuthorityTracker } {
  const clock = new FakeClock(10_000)
  const keeper = new AuthorityTracker(clock, new SilentEventLogger(), DEFAULT_PEER_TIMINGS, () => required)
  keeper.start()
  return { clock, keeper }
}

test('store authority ends 2 s after the renewal was sent, not after its reply', async (t) => {
  const { clock, keeper } = createKeeper(['m/1'])
  t.is(keeper.readAuthorityMs(), 0)
  keeper.beginRegistration(1, 10_000)
  await clock.advanceBy(900)
  keeper.confirmRenewal(10_500)
  t.is(keeper.readAuthorityMs(), 1_600)
  await clock.advanceBy(1_600)
  t.is(keeper.readAuthorityMs(), 0)
})

test('promise authority needs a promise of every member, to the current registration', async (t) => {
  const { clock, keeper } = createKeeper(['m/1', 'n/1'])
  keeper.beginRegistration(2, 10_000)
  await clock.advanceBy(3_000)
  keeper.recordPromise('m/1', 2, 13_000)
  t.is(keeper.readAuthorityMs(), 0, 'one member has not promised')
  keeper.recordPromise('n/1', 1, 13_000)
  t.is(keeper.readAuthorityMs(), 0, 'a promise to an earlier registration does not count')
  keeper.recordPromise('n/1', 2, 12_900)
  t.is(keeper.readAuthorityMs(), 1_400)
})

test('a pause over 1 s revokes authority, and what was requested before it does not restore it', (t) => {
  const { clock, keeper } = createKeeper(['m/1'])
  keeper.beginRegistration(1, 10_000)
  keeper.recordPromise('m/1', 1, 10_000)
  clock.skipBy(1_001)
  keeper.confirmRenewal(10_900)
  keeper.recordPromise('m/1', 1, 10_900)
  t.is(keeper.readAuthorityMs(), 0)
  keeper.recordPromise('m/1', 1, 11_001)
  t.is(keeper.readAuthorityMs(), 1_500)
})

test('a denial holds for its registration and earlier ones, and a later registration gets promises again', (t) => {
  const ledger = new PromiseGranter(new FakeClock(500))
  t.true(ledger.grant('o/1', 1))
  ledger.deny('o/1', 2)
  t.deepEqual([1, 2, 3].map((registration) => ledger.grant('o/1', registration)), [false, false, true])
  t.true(ledger.grant('o/2', 1), 'another incarnation is not denied')
  t.is(ledger.readLastPromiseMs('o/1'), 500)
})
