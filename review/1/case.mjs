import { sleep } from '../stand-ins/cell.mjs'
import { runCase } from '../stand-ins/run-case.mjs'

const EXECUTORS = 16
const CORES = EXECUTORS * 16
const STEPS = 100
const REPETITIONS = 150
const INTERVAL_MS = 400
const STEP_WORK_MS = 20
/** Ordinary checks, handed in at this pace all the while. */
const CHECK_PERIOD_MS = 500
const CHECK_WORK_MS = 500
const TRAFFIC_MS = 80_000
/** Time after the end of the traffic at which jobs are asked for. */
const FINISH_MS = 14_000
/** Time for which a job that could run has nothing running. */
const IDLE_MS = 3_000
const SAMPLE_MS = 100
const SCHEDULED_ID = 'cccccccccccccccc'

const checkJob = { specification: 'check', steps: [{ count: 2, cpu: 1_400, taskMemoryMb: 4_000, estimatedMs: CHECK_WORK_MS }] }

function buildScheduledJob () {
  return {
    specification: 'scheduled',
    steps: Array.from({ length: STEPS }, () => ({ count: 1, cpu: 100, taskMemoryMb: 100, estimatedMs: STEP_WORK_MS })),
    repetitions: REPETITIONS,
    firstRunMs: Date.now() + 500,
    intervalMs: INTERVAL_MS
  }
}

function readTask (task, specification) {
  return specification === 'scheduled' ? { workMs: STEP_WORK_MS, cpu: 100 } : { workMs: CHECK_WORK_MS, cpu: 1_400 }
}

await runCase(import.meta.url, { instances: 3, executors: EXECUTORS, readTask }, async (cell, hasTrouble) => {
  if (hasTrouble) await cell.submit('reposicion', SCHEDULED_ID, buildScheduledJob())
  const endMs = performance.now() + TRAFFIC_MS
  const accepted = []
  const submissions = []
  for (let index = 0; performance.now() < endMs; index++) {
    const id = (index + 1).toString(16).padStart(16, '0')
    submissions.push(cell.submit('estado-pod', id, checkJob, 5, index).then((isAccepted) => { if (isAccepted) accepted.push(id) }))
    await sleep(CHECK_PERIOD_MS)
  }
  await Promise.all(submissions)
  cell.record('endOfTraffic', { accepted: accepted.length })
  await sleep(FINISH_MS)
  const open = new Map()
  for (const id of accepted) {
    const response = await cell.call(cell.instances[0], 'GET', 'estado-pod', id)
    if (response?.body?.state !== 'completed') open.set(id, undefined)
  }
  return await watchIdleJobs(cell, open)
})

/** Watches the jobs that are not completed, and returns those that have nothing running for 3 s in a cell that is almost empty. */
async function watchIdleJobs (cell, open) {
  const violations = []
  const endMs = performance.now() + 3 * IDLE_MS
  while (open.size > 0 && performance.now() < endMs) {
    const running = new Set(cell.executors.flatMap((executor) => executor.listRunning()).map(({ task }) => task.split('.')[0]))
    const usedCores = cell.executors.reduce((sum, executor) => sum + executor.readUsedCpu(), 0) / 1_000
    for (const [id, idleSinceMs] of open) {
      if (running.has(id) || usedCores >= CORES / 2) open.set(id, undefined)
      else if (idleSinceMs === undefined) open.set(id, performance.now())
      else if (performance.now() - idleSinceMs >= IDLE_MS) {
        const state = (await cell.call(cell.instances[1], 'GET', 'estado-pod', id))?.body?.state
        if (state !== 'completed') violations.push(`LOST: job ${id} is ${state}, had nothing running for ${IDLE_MS} ms; ${usedCores} of ${CORES} cores in use`)
        open.delete(id)
      }
    }
    await sleep(SAMPLE_MS)
  }
  return violations
}
