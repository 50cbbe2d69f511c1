import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import test from 'ava'
import { OWNER_KEY } from '../src/job-keys.js'
import { OwnerElection, type Ownership } from '../src/owner-election.js'

/** A clock whose steady time stands still for this instance while its wall time goes on, as when it is suspended. */
class SuspendableClock implements Clock {
  readonly #clock: FakeClock
  #missedMs = 0

  constructor (clock: FakeClock) { this.#clock = clock }

  suspend (durationMs: number): void { this.#missedMs += durationMs }
  readMonotonicMs (): number { return this.#clock.readMonotonicMs() - this.#missedMs }
  readWallMs (): number { return this.#clock.readWallMs() }
  startTimer (delayMs: number, callback: () => void): { cancel: () => void } { return this.#clock.startTimer(delayMs, callback) }
  startInterval (periodMs: number, callback: () => void): { cancel: () => void } { return this.#clock.startInterval(periodMs, callback) }
}

interface Candidate {
  readonly leadership: OwnerElection
  readonly clock: SuspendableClock
  readonly store: InMemoryStore
  readonly acquired: Ownership[]
  readonly losses: string[]
}

function createCandidate (clock: FakeClock, store: InMemoryStore, name: string, incarnation = name): Candidate {
  const acquired: Ownership[] = []
  const losses: string[] = []
  const own = new SuspendableClock(clock)
  const client = store.createClient()
  const leadership = new OwnerElection({
    instance: name,
    address: name,
    incarnation,
    cores: 1,
    clock: own,
    random: new SeededRandomSource(name.length + 1),
    logger: new SilentEventLogger(),
    store: client,
    handler: {
      onAcquired: (ownership) => { acquired.push(ownership) },
      onLost: () => { losses.push('lost') },
      onOwnerChanged: () => {},
      onFirstRenewalFailure: () => {},
      onRepeatedRenewalFailure: () => {}
    }
  })
  leadership.start()
  return { leadership, clock: own, store: client, acquired, losses }
}

test('one of several instances becomes the owner, and the next has a higher token and term', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const candidates = ['a', 'bb', 'ccc'].map((name) => createCandidate(clock, store, name))
  await clock.advanceBy(1_000)
  const owners = candidates.filter((candidate) => candidate.leadership.isOwner())
  t.is(owners.length, 1)
  const [owner] = owners
  await owner?.leadership.release()
  await clock.advanceBy(1_000)
  const next = candidates.find((candidate) => candidate.leadership.isOwner())
  t.not(next, owner)
  t.true((next?.acquired[0]?.fencingToken ?? 0) > (owner?.acquired[0]?.fencingToken ?? Infinity))
  t.is(next?.acquired[0]?.term, 1)
})

test('an owner without the store stops giving orders before its lease can be over', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const first = createCandidate(clock, store, 'a')
  await clock.advanceBy(1_000)
  t.true(first.leadership.isAuthorized())
  first.store.setDown(true)
  const second = createCandidate(clock, store, 'bb')
  for (let passedMs = 0; passedMs < 4_000; passedMs += 20) {
    await clock.advanceBy(20)
    t.false(first.leadership.isAuthorized() && second.leadership.isAuthorized())
  }
  t.true(second.leadership.isAuthorized())
})

test('an owner that was suspended gives no order until the store confirms its lease', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const first = createCandidate(clock, store, 'a')
  await clock.advanceBy(1_000)
  first.clock.suspend(700)
  clock.skipBy(700)
  t.false(first.leadership.isAuthorized())
  await clock.advanceBy(600)
  t.true(first.leadership.isAuthorized())
})

test('an owner that was suspended past its lease does not give orders beside the next owner', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const first = createCandidate(clock, store, 'a')
  await clock.advanceBy(1_000)
  const second = createCandidate(clock, store, 'bb')
  first.clock.suspend(5_000)
  first.store.setDown(true)
  await clock.advanceBy(5_000)
  first.store.setDown(false)
  t.true(second.leadership.isAuthorized())
  t.false(first.leadership.isAuthorized())
  await clock.advanceBy(2_000)
  t.true(second.leadership.isAuthorized())
  t.false(first.leadership.isAuthorized())
  t.deepEqual(first.losses, ['lost'])
})

test('a restarted instance ends the lease of its earlier process and owns again at once', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const first = createCandidate(clock, store, 'a', 'first')
  await clock.advanceBy(1_000)
  first.leadership.stop()
  first.store.setDown(true)
  const second = createCandidate(clock, store, 'a', 'second')
  await clock.advanceBy(400)
  t.true(second.leadership.isAuthorized())
})

// Pattern: the store drops its history while the owner stops, and stale reads lag behind. Guards against instances that miss the
// end of the ownership and leave all targets without an owner for seconds.
test('an ownership that ended while a watch was cut is taken over though stale reads still show it', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const owner = createCandidate(clock, store, 'a')
  await clock.advanceBy(1_000)
  t.true(owner.leadership.isOwner())
  const next = createCandidate(clock, store, 'bb')
  await clock.advanceBy(1_000)
  const stale = await store.readKey(OWNER_KEY, 'critical')
  const readFresh = next.store.readKey.bind(next.store)
  next.store.readKey = async (key, priority) => priority === 'background' && key === OWNER_KEY ? stale : await readFresh(key, priority)
  next.store.setDown(true)
  await owner.leadership.release()
  next.store.setDown(false)
  await clock.advanceBy(1_000)
  t.true(next.leadership.isOwner())
})

// Pattern: the store takes 75 times as long as usual. Guards against owners that lose a lease of which the store's slowness has
// used up most before the first renewal, so that nobody places work until the store is quick again.
test('an owner keeps its lease while the store is slow', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const candidate = createCandidate(clock, store, 'a')
  candidate.store.faults.delayMs = 450
  await clock.advanceBy(3_000)
  let unauthorizedMs = 0
  for (let passedMs = 0; passedMs < 10_000; passedMs += 20) {
    await clock.advanceBy(20)
    if (!candidate.leadership.isAuthorized()) unauthorizedMs += 20
  }
  t.is(candidate.acquired.length, 1)
  t.deepEqual(candidate.losses, [])
  t.is(unauthorizedMs, 0)
})
