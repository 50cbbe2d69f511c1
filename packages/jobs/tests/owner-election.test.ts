import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import test from 'ava'
import { OWNER_KEY } from '../src/job-keys.js'
import { OwnerElection, type Ownership } from '../src/owner-election.js'

/** A clock whose monotonic time stands still while its wall time continues, as for a suspended instance. */
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
  readonly election: OwnerElection
  readonly clock: SuspendableClock
  readonly store: InMemoryStore
  readonly acquired: Ownership[]
  readonly losses: string[]
}

function createCandidate (clock: FakeClock, store: InMemoryStore, name: string, incarnation = name): Candidate {
  const acquired: Ownership[] = []
  const losses: string[] = []
  const ownClock = new SuspendableClock(clock)
  const client = store.createClient()
  const election = new OwnerElection({
    instance: name,
    address: name,
    incarnation,
    cores: 1,
    clock: ownClock,
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
  election.start()
  return { election, clock: ownClock, store: client, acquired, losses }
}

test('one of several instances becomes the owner, and the next owner has a higher fencing token and term', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const candidates = ['a', 'bb', 'ccc'].map((name) => createCandidate(clock, store, name))
  await clock.advanceBy(1_000)
  const owners = candidates.filter((candidate) => candidate.election.isOwner())
  t.is(owners.length, 1)
  const [owner] = owners
  await owner?.election.release()
  await clock.advanceBy(1_000)
  const next = candidates.find((candidate) => candidate.election.isOwner())
  t.not(next, owner)
  t.true((next?.acquired[0]?.fencingToken ?? 0) > (owner?.acquired[0]?.fencingToken ?? Infinity))
  t.is(next?.acquired[0]?.term, 1)
})

test('an owner that cannot reach the store stops sending orders before its lease can expire', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const first = createCandidate(clock, store, 'a')
  await clock.advanceBy(1_000)
  t.true(first.election.isAuthorized())
  first.store.setDown(true)
  const second = createCandidate(clock, store, 'bb')
  for (let passedMs = 0; passedMs < 4_000; passedMs += 20) {
    await clock.advanceBy(20)
    t.false(first.election.isAuthorized() && second.election.isAuthorized())
  }
  t.true(second.election.isAuthorized())
})

test('an owner that was suspended sends no order until the store confirms its lease', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const first = createCandidate(clock, store, 'a')
  await clock.advanceBy(1_000)
  first.clock.suspend(700)
  clock.skipBy(700)
  t.false(first.election.isAuthorized())
  await clock.advanceBy(600)
  t.true(first.election.isAuthorized())
})

test('an owner that was suspended past the expiry of its lease sends no orders beside the next owner', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const first = createCandidate(clock, store, 'a')
  await clock.advanceBy(1_000)
  const second = createCandidate(clock, store, 'bb')
  first.clock.suspend(5_000)
  first.store.setDown(true)
  await clock.advanceBy(5_000)
  first.store.setDown(false)
  t.true(second.election.isAuthorized())
  t.false(first.election.isAuthorized())
  await clock.advanceBy(2_000)
  t.true(second.election.isAuthorized())
  t.false(first.election.isAuthorized())
  t.deepEqual(first.losses, ['lost'])
})

test('a restarted instance revokes the lease of its earlier process and becomes the owner again at once', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const first = createCandidate(clock, store, 'a', 'first')
  await clock.advanceBy(1_000)
  first.election.stop()
  first.store.setDown(true)
  const second = createCandidate(clock, store, 'a', 'second')
  await clock.advanceBy(400)
  t.true(second.election.isAuthorized())
})

// Guards against targets without an owner for seconds: the store compacts its history while the owner stops, so that the watches
// are closed, and stale reads still show the ownership that has ended.
test('an ownership that ended while a watch was closed is taken over though stale reads still show it', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const owner = createCandidate(clock, store, 'a')
  await clock.advanceBy(1_000)
  t.true(owner.election.isOwner())
  const next = createCandidate(clock, store, 'bb')
  await clock.advanceBy(1_000)
  const stale = await store.readKey(OWNER_KEY, 'critical')
  const readFresh = next.store.readKey.bind(next.store)
  next.store.readKey = async (key, priority) => priority === 'background' && key === OWNER_KEY ? stale : await readFresh(key, priority)
  next.store.setDown(true)
  await owner.election.release()
  next.store.setDown(false)
  await clock.advanceBy(1_000)
  t.true(next.election.isOwner())
})

// Guards against owners that lose their lease because a slow store, here at 75 times its usual delay, has used up most of it before
// the first renewal, so that no tasks are placed until the store is fast again.
test('an owner keeps its lease while the store is slow', async (t) => {
  const clock = new FakeClock()
  const store = new InMemoryStore(clock)
  const candidate = createCandidate(clock, store, 'a')
  candidate.store.faults.delayMs = 450
  await clock.advanceBy(3_000)
  let unauthorizedMs = 0
  for (let passedMs = 0; passedMs < 10_000; passedMs += 20) {
    await clock.advanceBy(20)
    if (!candidate.election.isAuthorized()) unauthorizedMs += 20
  }
  t.is(candidate.acquired.length, 1)
  t.deepEqual(candidate.losses, [])
  t.is(unauthorizedMs, 0)
})
