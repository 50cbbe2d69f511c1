import { sleep } from '../stand-ins/cell.mjs'
import { runCase } from '../stand-ins/run-case.mjs'

const EXECUTORS = 32
/** Run time of an ordinary task; its client estimates a sixteenth of it. */
const WORK_MS = 4_000
const ESTIMATE_MS = 250
const JOBS = 6
const STEPS = 3
/** Time after the end of the traffic at which jobs are asked for. */
const FINISH_MS = 14_000
/** Time for which a job that could run has nothing running. */
const IDLE_MS = 3_000
const SAMPLE_MS = 100
const HOPELESS_ID = 'aaaaaaaaaaaaaaaa'

/** A plan whose tasks ask for more cores than any machine has. */
const hopelessJob = { specification: 'hopeless', steps: [{ count: 48, cpu: 24_000, taskMemoryMb: 8_800, estimatedMs: 500 }] }

/** A plan of three steps, one after the other, on an almost empty cell. */
const ordinaryJob = {
  specification: 'ordinary',
  steps: Array.from({ length: STEPS }, (_, step) => (
    { count: 1, cpu: 1_000, taskMemoryMb: 2_000, estimatedMs: ESTIMATE_MS, ...(step === 0 ? {} : { after: [step - 1] }) }))
}

await runCase(import.meta.url, { instances: 3, executors: EXECUTORS, readTask: () => ({ workMs: WORK_MS }) }, async (cell, hasTrouble) => {
  if (hasTrouble) await cell.submit('sanitizado', HOPELESS_ID, hopelessJob)
  await sleep(1_000)
  const ids = Array.from({ length: JOBS }, (_, index) => (index + 1).toString(16).padStart(16, '0'))
  const accepted = []
  for (const [index, id] of ids.entries()) if (await cell.submit('sanitizado', id, ordinaryJob, 5, index)) accepted.push(id)
  cell.record('endOfTraffic')
  // The jobs take about 12 s, so most of them could be completed before they are asked for.
  await sleep(FINISH_MS)
  const open = new Map()
  for (const id of accepted) {
    const response = await cell.call(cell.instances[0], 'GET', 'sanitizado', id)
    if (response?.body?.state !== 'completed') open.set(id, undefined)
  }
  return await watchIdleJobs(cell, open)
})

/** Watches the jobs that are not completed, and returns those that have nothing running for 3 s in a cell that is almost empty. */
async function watchIdleJobs (cell, open) {
  const violations = []
  const endMs = performance.now() + 3 * IDLE_MS + STEPS * WORK_MS
  while (open.size > 0 && performance.now() < endMs) {
    const running = new Set(cell.executors.flatMap((executor) => executor.listRunning()).map(({ task }) => task.split('.')[0]))
    for (const [id, idleSinceMs] of open) {
      if (running.has(id)) open.set(id, undefined)
      else if (idleSinceMs === undefined) open.set(id, performance.now())
      else if (performance.now() - idleSinceMs >= IDLE_MS) {
        const state = (await cell.call(cell.instances[1], 'GET', 'sanitizado', id))?.body?.state
        const usedCores = cell.executors.reduce((sum, executor) => sum + executor.readUsedCpu(), 0) / 1_000
        if (state !== 'completed') violations.push(`LOST: job ${id} is ${state}, had nothing running for ${IDLE_MS} ms; ${usedCores} of ${EXECUTORS * 16} cores in use`)
        open.delete(id)
      }
    }
    await sleep(SAMPLE_MS)
  }
  return violations
}
