import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import test from 'ava'
import { startCell, type FakeJobCell } from './fake-job-cell.js'
import { createJob, createStep } from './job-fixtures.js'

const JOB_COUNT = 20
const WORK_MS = 400

/** Hands in quick jobs while answers to looks are lost, and returns how long each took, sorted. */
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

// Pattern: a third of the answers of all targets are lost for some seconds. Guards against ends that are noticed only after the
// timeout of a look that waits, which makes quick work late by seconds.
test('while answers are lost, ends are noticed soon', async (t) => {
  const cell = await startCell(2, 4)
  const random = new SeededRandomSource(1)
  for (const target of cell.targets.targets.values()) target.faults.losesPollAnswer = () => random.drawFraction() < 0.33
  await cell.clock.advanceBy(3_000)
  const durationsMs = await measureJobs(cell)
  t.true((durationsMs[Math.floor(JOB_COUNT * 0.9)] ?? Infinity) <= WORK_MS + 1_000, durationsMs.map(Math.round).join(' '))
  t.deepEqual(cell.targets.violations, [])
})

// Guards against looks that cost processor and have a price while nothing is wrong.
test('while all answers arrive, a target is looked at no more often than needed', async (t) => {
  const cell = await startCell(2, 4)
  const owner = cell.findOwner()
  if (owner === undefined) return t.fail()
  let looks = 0
  for (const target of cell.targets.targets.values()) {
    target.faults.losesPollAnswer = () => {
      looks++
      return false
    }
  }
  await cell.submit(owner, createJob('aa', [createStep({ taskCount: 8, estimatedMs: 6_000 })]))
  await cell.clock.advanceBy(4_500)
  t.true(looks <= 4 * 4, String(looks))
})
