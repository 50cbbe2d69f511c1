import { sleep } from '../stand-ins/cell.mjs'
import { runCase } from '../stand-ins/run-case.mjs'

const EXECUTORS = 8
const JOB_PERIOD_MS = 1_500
const ESTIMATE_MS = 6_000
const SHORTEST_TASK_MS = 3_000
const LONGEST_TASK_MS = 11_000
const ROUNDS = 7
/** The executor is gone for this long, and is back under the id that it had. */
const DOWN_MS = 1_500
/** Time between the return and the cut. */
const UP_MS = 1_500
const CUT_MS = 5_500
const PAUSE_MS = 2_000
/** Time from the hand-in of a job to the crash. About a third of all moments between two jobs give the same result. */
const AFTER_SUBMISSION_MS = 250
const ROUND_MS = 8 * JOB_PERIOD_MS
const SETTLE_MS = 10_000

/** Plans: one step with a task on each executor. */
const job = { specification: 'plan', steps: [{ count: EXECUTORS, cpu: 980, taskMemoryMb: 2_000, estimatedMs: ESTIMATE_MS, antiAffinity: 1 }] }

/** Returns the same run time for each run of a task. */
function readTask (task) {
  const seed = [...task].reduce((sum, character) => (sum * 31 + character.charCodeAt(0)) % 10_007, 7)
  return { workMs: SHORTEST_TASK_MS + seed % (LONGEST_TASK_MS - SHORTEST_TASK_MS), cpu: 980 }
}

await runCase(import.meta.url, { instances: 3, executors: EXECUTORS, readTask }, async (cell, hasTrouble) => {
  const endMs = performance.now() + ROUNDS * ROUND_MS
  const submissions = []
  const trouble = hasTrouble ? disturbExecutors(cell) : Promise.resolve()
  for (let index = 0; performance.now() < endMs; index++) {
    submissions.push(cell.submit('sanitizado', (index + 1).toString(16).padStart(16, '0'), job, 5, index))
    await sleep(JOB_PERIOD_MS)
  }
  await Promise.all([...submissions, trouble])
  await sleep(SETTLE_MS)
  return findOverlappingRuns(cell.events)
})

/** One executor of eight at a time: it crashes, starts again, and is cut off soon after. */
async function disturbExecutors (cell) {
  for (let round = 0; round < ROUNDS; round++) {
    await sleep(PAUSE_MS)
    await awaitSubmission(cell)
    await sleep(AFTER_SUBMISSION_MS)
    const executor = cell.executors[round % EXECUTORS]
    cell.record('powerLost', { executor: executor.id })
    executor.losePower()
    await sleep(DOWN_MS)
    executor.regainPower()
    cell.record('powerBack', { executor: executor.id })
    await sleep(UP_MS)
    cell.record('cut', { executor: executor.id })
    executor.cut()
    await sleep(CUT_MS)
    executor.heal()
    cell.record('healed', { executor: executor.id })
  }
}

/** Waits until the next job is handed in. */
async function awaitSubmission (cell) {
  const count = countSubmissions(cell)
  while (countSubmissions(cell) === count) await sleep(10)
}

function countSubmissions (cell) {
  return cell.events.filter(({ event }) => event === 'submit').length
}

/** Returns the starts of tasks that ran elsewhere at that moment, on an executor that was up. */
function findOverlappingRuns (events) {
  const violations = []
  const running = new Map()
  for (const { event, task, run, executor, atMs } of events) {
    if (event === 'end' || event === 'gone') running.get(task)?.delete(executor)
    if (event !== 'start') continue
    const runs = running.get(task) ?? new Map()
    running.set(task, runs)
    for (const [other, first] of runs) {
      violations.push(`TWICE: run ${run} of ${task} started at ${atMs} on ${executor}; run ${first.run} was running on ${other} since ${first.atMs}`)
    }
    runs.set(executor, { run, atMs })
  }
  return violations
}
