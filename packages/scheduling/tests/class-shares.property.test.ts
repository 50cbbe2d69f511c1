import test from 'ava'
import fc from 'fast-check'
import { PoolShardScheduler } from '../src/pool-shard-scheduler.js'
import { URGENCIES, type Urgency } from '../src/urgency.js'
import type { WorkItem } from '../src/work-item.js'
import { buildExecutor, buildItem, buildPool } from './fixtures.js'

const SLOTS = 20
const PERCENT_PER_SLOT = 100 / SLOTS
const ROUNDS = 60

const sharesArbitrary = fc.record({
  floors: fc.tuple(fc.nat(5), fc.nat(5), fc.nat(5), fc.nat(5)),
  extras: fc.tuple(fc.nat(15), fc.nat(15), fc.nat(15), fc.nat(15)),
  releases: fc.array(fc.nat(SLOTS), { minLength: ROUNDS, maxLength: ROUNDS })
})

test('classes with a backlog never use less than their floor or more than their limit, in whichever order items end', (t) => {
  fc.assert(fc.property(sharesArbitrary, ({ floors, extras, releases }) => {
    const slotsOf = (index: number): { floor: number, limit: number } => {
      const floor = floors[index] ?? 0
      return { floor, limit: Math.min(SLOTS, floor + (extras[index] ?? 0)) }
    }
    const classes = Object.fromEntries(URGENCIES.map((urgency, index) => {
      const { floor, limit } = slotsOf(index)
      return [urgency, { floorPercent: floor * PERCENT_PER_SLOT, limitPercent: limit * PERCENT_PER_SLOT }]
    }))
    const scheduler = new PoolShardScheduler()
    scheduler.applyPools([buildPool({ targetKind: 'executor', classes })], 0)
    scheduler.applyTargets([buildExecutor('e1', SLOTS)], 0)
    const running: WorkItem[] = []
    const countClass = (urgency: Urgency): number => running.filter((item) => item.urgency === urgency).length
    for (const [round, release] of releases.entries()) {
      for (const urgency of URGENCIES) {
        for (let index = 0; index < SLOTS; index++) scheduler.admit(buildItem(`${round}-${urgency}-${index}`, { urgency, runtimeMs: 1 }), round)
      }
      for (let index = 0; index < 4; index++) {
        const [item] = running.splice((release + index * 7) % Math.max(1, running.length), 1)
        if (item !== undefined) scheduler.releaseTask(item.requestId, 0, 'succeeded', round)
      }
      for (const decision of scheduler.schedule(round, 100)) if (decision.type === 'start') running.push(decision.item)
      for (const [index, urgency] of URGENCIES.entries()) {
        const { floor, limit } = slotsOf(index)
        const used = countClass(urgency)
        if (used > limit) return false
        if (used < floor) return false
      }
    }
    return true
  }), { seed: 4, numRuns: 60 })
  t.pass()
})
