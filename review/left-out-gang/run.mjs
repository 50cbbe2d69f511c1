// Workers leave orders unanswered and carry them out late, and executors crash and start again under their ids.
// TWICE: an order of the time before the crash reaches the next life, and a task runs again although a run of it has ended `done`.
import { findFolder, pause, runCase } from '../stand-ins-gang/cell.mjs'

const EXECUTORS = 15
/** Two of fifteen executors crash at a time. */
const CRASHES_AT_ONCE = 2
const DOWN_MS = 700
const CRASH_PERIOD_MS = 500
/** Spells in which a share of the orders is carried out late, with pauses between them. */
const LATE_MS = 5_500
const PAUSE_MS = 500
const LATE_SHARE = 0.055
const SPELLS = 11
const JOB_PERIOD_MS = 30
const FINISH_MS = 14_000

const executors = Array.from({ length: EXECUTORS }, (_, index) => ({ id: `e${index}`, labels: ['a', 'r1-1'] }))
const route = { priority: 0, maxAttempts: 4, stretch: 4, targetDurationMs: 250 }
const job = { specification: JSON.stringify({ ms: 400, gang: 4 }), steps: [{ count: 4, cpu: 2_000, taskMemoryMb: 256, estimatedMs: 400, gang: true, antiAffinity: 1 }] }

await runCase({ folder: findFolder(import.meta.url), machines: 3, executors, route }, async (cell, hasTrouble) => {
  const startMs = performance.now()
  const endMs = startMs + SPELLS * (LATE_MS + PAUSE_MS)
  const counts = { late: 0, orders: 0, crashes: 0 }
  if (hasTrouble) {
    for (const executor of cell.executors) {
      executor.decideLateness = () => {
        const nowMs = performance.now()
        if (nowMs > endMs || (nowMs - startMs) % (LATE_MS + PAUSE_MS) >= LATE_MS) return undefined
        counts.orders++
        // Never more than the share.
        if (Math.random() >= LATE_SHARE || counts.late + 1 > counts.orders * LATE_SHARE) return undefined
        counts.late++
        return 2_000 + Math.random() * 10_000
      }
    }
  }
  const crashing = hasTrouble ? crashInTurn(cell, counts, endMs) : undefined
  const submissions = []
  for (let number = 0; performance.now() < endMs; number++) {
    submissions.push(cell.submit(number.toString(16).padStart(16, '0'), job))
    await pause(JOB_PERIOD_MS)
  }
  await crashing
  await pause(FINISH_MS)
  cell.write(`executors: ${counts.late} of ${counts.orders} orders were carried out late; ${counts.crashes} crashes; ${submissions.length} jobs`)
  const broken = findRepeated(cell)
  return broken.length === 0 ? undefined : `TWICE: ${broken.length} tasks: ${broken.slice(0, 4).join('; ')}`
})

/** Lists the tasks of which two runs overlap, or a run starts after one has ended `done`, if that end is taken note of and stands. */
function findRepeated (cell) {
  const found = new Set()
  for (const [task, runs] of groupByTask(cell.starts)) {
    for (const [index, run] of runs.entries()) {
      for (const earlier of runs.slice(0, index)) {
        const ended = cell.ends.find((end) => end.executor === earlier.executor && end.task === task && end.run === earlier.run && end.atMs >= earlier.atMs)
        const key = `${earlier.executor} ${task} ${earlier.run}`
        if (ended === undefined || ended.atMs > run.atMs) found.add(`${task} run ${earlier.run} on ${earlier.executor} and run ${run.run} on ${run.executor} overlap`)
        else if (ended.how === 'done' && cell.notes.has(key) && !(cell.notes.get(key) >= ended.atMs)) {
          found.add(`${task} run ${run.run} starts on ${run.executor} ${Math.round(run.atMs - ended.atMs)} ms after run ${earlier.run} has ended done on ${earlier.executor}`)
        }
      }
    }
  }
  return [...found]
}

function groupByTask (starts) {
  const groups = new Map()
  for (const start of starts) groups.set(start.task, [...groups.get(start.task) ?? [], start])
  return groups
}

/** Lets two executors at a time crash and start again under their ids. */
async function crashInTurn (cell, counts, endMs) {
  while (performance.now() < endMs) {
    await pause(CRASH_PERIOD_MS)
    const up = cell.executors.filter(({ isUp }) => isUp).sort(() => Math.random() - 0.5).slice(0, CRASHES_AT_ONCE)
    counts.crashes += up.length
    for (const executor of up) {
      cell.write(`executor ${executor.id} crashes`)
      executor.crash()
    }
    await pause(DOWN_MS)
    for (const executor of up) {
      await executor.start()
      cell.write(`executor ${executor.id} has started again under its id`)
    }
  }
}
