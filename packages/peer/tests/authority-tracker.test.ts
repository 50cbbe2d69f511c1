import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { AuthorityTracker } from '../src/authority-tracker.js'
import { DEFAULT_PEER_TIMINGS } from '../src/peer-timings.js'
import { PromiseGranter } from '../src/promise-granter.js'

function createTracker (required: readonly string[]): { clock: FakeClock, tracker: AuthorityTracker } {
  const clock = new FakeClock(10_000)
  const tracker = new AuthorityTracker(clock, new SilentEventLogger(), DEFAULT_PEER_TIMINGS, () => required)
  tracker.start()
  return { clock, tracker }
}

test('lease authority ends 2 s after the renewal was sent, not after its response arrived', async (t) => {
  const { clock, tracker } = createTracker(['m/1'])
  t.is(tracker.readAuthorityMs(), 0)
  tracker.beginRegistration(1, 10_000)
  await clock.advanceBy(900)
  tracker.confirmRenewal(10_500)
  t.is(tracker.readAuthorityMs(), 1_600)
  await clock.advanceBy(1_600)
  t.is(tracker.readAuthorityMs(), 0)
})

test('promise authority requires a promise from every member for the current registration', async (t) => {
  const { clock, tracker } = createTracker(['m/1', 'n/1'])
  tracker.beginRegistration(2, 10_000)
  await clock.advanceBy(3_000)
  tracker.recordPromise('m/1', 2, 13_000)
  t.is(tracker.readAuthorityMs(), 0, 'one member has given no promise')
  tracker.recordPromise('n/1', 1, 13_000)
  t.is(tracker.readAuthorityMs(), 0, 'a promise for an earlier registration does not count')
  tracker.recordPromise('n/1', 2, 12_900)
  t.is(tracker.readAuthorityMs(), 1_400)
})

test('a pause of more than 1 s revokes authority, and renewals and promises requested before its end do not restore it', (t) => {
  const { clock, tracker } = createTracker(['m/1'])
  tracker.beginRegistration(1, 10_000)
  tracker.recordPromise('m/1', 1, 10_000)
  clock.skipBy(1_001)
  tracker.confirmRenewal(10_900)
  tracker.recordPromise('m/1', 1, 10_900)
  t.is(tracker.readAuthorityMs(), 0)
  tracker.recordPromise('m/1', 1, 11_001)
  t.is(tracker.readAuthorityMs(), 1_500)
})

test('a denial applies to its registration and all earlier ones, and a later registration gets promises again', (t) => {
  const granter = new PromiseGranter(new FakeClock(500))
  t.true(granter.grant('o/1', 1))
  granter.deny('o/1', 2)
  t.deepEqual([1, 2, 3].map((registration) => granter.grant('o/1', registration)), [false, false, true])
  t.true(granter.grant('o/2', 1), 'another incarnation is not denied')
  t.is(granter.readLastPromiseMs('o/1'), 500)
})
