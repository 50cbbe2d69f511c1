import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import test from 'ava'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { ListedTarget } from '../src/target-list.js'
import { TargetListPoller } from '../src/target-list-poller.js'
import type { TargetListing } from '../src/parse-target-list.js'

const FAILURE: readonly Finding[] = [{ code: 'instanceListUnreachable', place: 'list', message: 'refused' }]

function createListing (...ids: string[]): TargetListing {
  return { targets: ids.map((id) => ({ id }) as ListedTarget), findings: [] }
}

function createPoller (clock: FakeClock, fetchListing: () => Promise<Result<TargetListing, readonly Finding[]>>): TargetListPoller {
  return new TargetListPoller({ fetchListing, fetchTargets: async () => (await fetchListing()).map(({ targets }) => targets) }, clock)
}

test('a failed poll retains the last list, lets its age grow and reports the failure', async (t) => {
  const clock = new FakeClock()
  let result: Result<TargetListing, readonly Finding[]> = Ok(createListing('w1'))
  const seen: string[][] = []
  const poller = createPoller(clock, async () => result)
  poller.subscribe((targets) => { seen.push(targets.map(({ id }) => id)) })
  t.is(poller.readAgeMs(), undefined)
  poller.start()
  await clock.advanceBy(500)
  result = Err(FAILURE)
  await clock.advanceBy(3_000)
  t.deepEqual(poller.listTargets().map(({ id }) => id), ['w1'])
  t.is(poller.readAgeMs(), 3_500)
  t.deepEqual(poller.listFindings(), FAILURE)
  result = Ok(createListing('w1', 'w2'))
  await clock.advanceBy(1_000)
  t.deepEqual(seen, [['w1'], ['w1', 'w2']])
  t.deepEqual(poller.listFindings(), [])
  poller.stop()
  result = Ok(createListing())
  await clock.advanceBy(5_000)
  t.is(seen.length, 2)
})

test('no second request starts while a slow one is pending, and the age counts from the request', async (t) => {
  const clock = new FakeClock()
  let requests = 0
  const poller = createPoller(clock, async () => {
    requests++
    await new Promise<void>((resolve) => { clock.startTimer(2_500, resolve) })
    return Ok(createListing('w1'))
  })
  poller.start()
  await clock.advanceBy(2_600)
  t.is(requests, 1)
  t.is(poller.readAgeMs(), 2_600)
  poller.stop()
})
