import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { toUnitId } from '@hibiscusledge/runtime/identifiers.js'
import test from 'ava'
import { HeartbeatLoadDirectory } from '../src/heartbeat-load-directory.js'

const UNIT = toUnitId('worker/a')

test('the newest report is used, an outdated epoch does not replace a newer one, and reports older than 3 s are dropped', async (t) => {
  const clock = new FakeClock()
  const loads = new HeartbeatLoadDirectory(clock)
  t.is(loads.findLoad(UNIT), undefined)
  loads.recordReports([{ unit: UNIT, epoch: 2, pools: [] }])
  loads.recordReports([{ unit: UNIT, epoch: 1, pools: [] }])
  t.is(loads.findLoad(UNIT)?.epoch, 2)
  loads.setLocalLoadProvider(() => [{ unit: UNIT, epoch: 3, pools: [] }])
  t.is(loads.findLoad(UNIT)?.epoch, 3)
  loads.setLocalLoadProvider(() => [])
  await clock.advanceBy(3_001)
  t.is(loads.findLoad(UNIT), undefined)
})
