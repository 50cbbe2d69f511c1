import test from 'ava'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import type { TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { ShardScheduler } from '@hibiscusledge/scheduling/shard-scheduler.js'
import type { DispatchContext } from '../src/dispatch-context.js'
import type { TargetClient } from '../src/target-client.js'
import { TargetMonitor } from '../src/target-monitor.js'
import { buildTarget } from './fixtures.js'

const TARGET_COUNT = 320
const POLLS_PER_SECOND = 50

test('every target of a large shard is polled in turn, not only those at the head of the list', async (t) => {
  const clock = new FakeClock()
  const polled: TargetId[] = []
  const client = { readProgress: async ({ id }: { id: TargetId }) => { polled.push(id) } } as unknown as TargetClient
  const targets = Array.from({ length: TARGET_COUNT }, (_, index) => buildTarget(`executor-${index}`))
  const monitor = new TargetMonitor({ clock } as unknown as DispatchContext, {} as ShardScheduler, client, () => targets)
  // One second longer than a round at the maximum rate, because polls are sent in ticks.
  const durationMs = TARGET_COUNT / POLLS_PER_SECOND * 1000 + 1000
  await clock.advanceBy(durationMs)
  t.is(new Set(polled).size, TARGET_COUNT)
  t.true(polled.length <= POLLS_PER_SECOND * durationMs / 1000, 'the poll rate is limited')
  monitor.stop()
})
