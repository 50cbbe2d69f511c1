import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import test from 'ava'
import { startCell, type FakeJobCell } from './fake-job-cell.js'
import { createJob, createStep } from './job-fixtures.js'

const JOB_COUNT = 20
const WORK_MS = 400

/** Submits short jobs while answers to polls are being lost. Returns their durations in milliseconds, sorted. */
async function measureJobs (cell: FakeJobCell): Promise<number[]> {
  const owner = cell.findOwner()
  if (owner === undefined) return []
  const openSinceMs = new Map<string, number>()
  const durationsMs: number[] = []
  while (durationsMs.length < JOB_COUNT) {
    const count = openSinceMs.size + durationsMs.length
    if (count < JOB_COUNT) {
      openSinceMs.set(`a${count}`, cell.clock.readMonotonicMs())
      await cell.submit(owner, createJob(`a${count}`, [createStep({ estimatedMs: WORK_MS })]))
    }
    for (const [id, atMs] of [...openSinceMs]) {
      if (await cell.readState(owner, id) !== 'completed') continue
      durationsMs.push(cell.clock.readMonotonicMs() - atMs)
      openSinceMs.delete(id)
    }
    await cell.clock.advanceBy(20)
  }
  return durationsMs.sort((left, right) => left - right)
}

// Guards against ended runs that are noticed only after the timeout of a waiting poll, which delays short jobs by seconds. A third
// of the answers of all targets are lost.
test('while answers are being lost, the ends of runs are noticed soon', async (t) => {
  const cell = await startCell(2, 4)
  const random = new SeededRandomSource(1)
  for (const target of cell.targets.targets.values()) target.faults.losesPollAnswer = () => random.drawFraction() < 0.33
  await cell.clock.advanceBy(3_000)
  const durationsMs = await measureJobs(cell)
  t.true((durationsMs[Math.floor(JOB_COUNT * 0.9)] ?? Infinity) <= WORK_MS + 1_000, durationsMs.map(Math.round).join(' '))
  t.deepEqual(cell.targets.violations, [])
})

// Guards against unnecessary polls, which take CPU time and have a cost.
test('while all answers arrive, a target is polled no more often than needed', async (t) => {
  const cell = await startCell(2, 4)
  const owner = cell.findOwner()
  if (owner === undefined) return t.fail()
  let polls = 0
  for (const target of cell.targets.targets.values()) {
    target.faults.losesPollAnswer = () => {
      polls++
      return false
    }
  }
  await cell.submit(owner, createJob('aa', [createStep({ taskCount: 8, estimatedMs: 6_000 })]))
  await cell.clock.advanceBy(4_500)
  t.true(polls <= 4 * 4, String(polls))
})
