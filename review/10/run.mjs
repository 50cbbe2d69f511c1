// Executors crash and start again under their ids as another kind, while the store loses answers of writes.
// ROUTE: a task is started on the new life of an executor, which hasn't the label that the task requires.
import { findFolder, pause, runCase } from '../stand-ins-2/cell.mjs'

const EXECUTORS = 15
/** Two of fifteen executors crash at a time. */
const CRASHES_AT_ONCE = 2
const DOWN_MS = 250
const CRASH_PERIOD_MS = 1_500
/** The store loses answers to writes in spells of this length, with calm between them. */
const LOSS_MS = 4_500
const CALM_MS = 1_500
const LOST_SHARE = 0.35
const SPELLS = 12
const JOB_PERIOD_MS = 60

const executors = Array.from({ length: EXECUTORS }, (_, index) => ({ id: `e${index}`, labels: [index % 2 === 0 ? 'a' : 'b', 'r1-1'] }))
const route = { priority: 0, maxAttempts: 4, stretch: 4, targetDurationMs: 250 }
const job = { specification: JSON.stringify({ ms: 300 }), steps: [{ count: 2, cpu: 2_000, taskMemoryMb: 256, estimatedMs: 300, requirements: 'a' }] }

await runCase({ folder: findFolder(import.meta.url), machines: 3, executors, route }, async (cell, hasTrouble) => {
  const endMs = performance.now() + SPELLS * (LOSS_MS + CALM_MS)
  const findBroken = () => cell.starts.find(({ labels }) => !labels.includes('a'))
  const counts = { lost: 0, writes: 0, crashes: 0 }
  const startMs = performance.now()
  if (hasTrouble) {
    cell.store.decideFault = ({ call }) => {
      if (call !== 'kv-txn' || (performance.now() - startMs) % (LOSS_MS + CALM_MS) >= LOSS_MS) return undefined
      counts.writes++
      // Never more than the share.
      if (counts.lost + 1 > counts.writes * LOST_SHARE) return undefined
      counts.lost++
      return 'lose'
    }
  }
  const crashing = hasTrouble ? crashInTurn(cell, counts, () => performance.now() < endMs && findBroken() === undefined) : undefined
  const submissions = []
  for (let number = 0; performance.now() < endMs && findBroken() === undefined; number++) {
    submissions.push(cell.submit(number.toString(16).padStart(16, '0'), job))
    await pause(JOB_PERIOD_MS)
  }
  await crashing
  cell.write(`store: ${counts.lost} of ${counts.writes} answers to writes lost; ${counts.crashes} crashes; ${submissions.length} jobs`)
  const broken = findBroken()
  if (broken === undefined) return undefined
  return `ROUTE: ${broken.task} requires label a and was started on ${broken.executor}, which has the labels ${broken.labels.join(', ')}`
})

/** Lets two executors at a time crash and start again as the other kind: one of kind a, and one that changes back to it. */
async function crashInTurn (cell, counts, isGoingOn) {
  while (isGoingOn()) {
    await pause(CRASH_PERIOD_MS)
    const chosen = ['a', 'b'].map((kind) => chooseRandom(cell.executors.filter(({ labels, isUp }) => isUp && labels.includes(kind)))).slice(0, CRASHES_AT_ONCE)
    counts.crashes += chosen.length
    for (const executor of chosen) {
      cell.write(`executor ${executor.id} (${executor.labels.join(', ')}) crashes`)
      executor.crash()
    }
    await pause(DOWN_MS)
    for (const executor of chosen) {
      executor.change({ labels: [executor.labels.includes('a') ? 'b' : 'a', 'r1-1'] })
      await executor.start()
      cell.write(`executor ${executor.id} has started again under its id as another kind (${executor.labels.join(', ')})`)
    }
  }
}

function chooseRandom (list) {
  return list[Math.floor(Math.random() * list.length)]
}
