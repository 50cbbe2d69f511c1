// Jobs request memory in fractions of a megabyte. Once they have completed, a job that needs the whole memory of an executor has
// to run, since all executors are idle.

import { createId, runCase, sleep } from '../../stand-ins-3/cell.mjs'

const EXECUTORS = 8
/** Memory of an executor, in MB, as the executors report it. */
const WHOLE_MB = 65_536
const SIZES_MB = [15_493.8, 13_677.1, 19_160.5]
const DURATIONS_MS = [2_000, 3_500, 5_000]
const WHOLE_JOBS = 3
/** From the end of the traffic to the question for the jobs: finish_s. */
const FINISH_MS = 14_000
const IDLE_MS = 3_000

await runCase(import.meta.url, async ({ record, hasTrouble, startCell }) => {
  const readDurationMs = (task) => DURATIONS_MS[Number.parseInt(task.split('.')[0], 16) - 1] ?? 1_000
  const cell = await startCell({ instances: 3, executors: EXECUTORS, readDurationMs })
  const accepted = []
  const submit = async (number, step) => {
    const id = createId(number)
    const body = { specification: 'job', steps: [step] }
    const { status } = await cell.send(cell.instances[0], 'POST', id, body)
    record.note(`POST ${id} ${JSON.stringify(body)}: ${status === 0 ? 'no answer' : status}`)
    if (status >= 200 && status < 300) accepted.push(id)
  }
  const countRuns = () => cell.executors.reduce((sum, executor) => sum + executor.countRuns(), 0)
  for (const [index, sizeMb] of SIZES_MB.entries()) {
    // One task on each executor.
    const taskMemoryMb = hasTrouble ? sizeMb : Math.round(sizeMb)
    await submit(index + 1, { count: EXECUTORS, cpu: 1_000, taskMemoryMb, estimatedMs: DURATIONS_MS[index], antiAffinity: 1 })
    await sleep(400)
  }
  if (countRuns() !== EXECUTORS * SIZES_MB.length) throw new Error(`${countRuns()} tasks run instead of one of each job on each executor`)
  await sleep(8_000)
  if (countRuns() > 0) throw new Error('the first jobs have not ended')
  record.note('the first jobs have ended; all executors are idle')
  for (let number = 11; number < 11 + WHOLE_JOBS; number++) await submit(number, { count: 1, cpu: 1_000, taskMemoryMb: WHOLE_MB, estimatedMs: 1_000 })
  record.note('end of the traffic')
  await sleep(FINISH_MS)
  let mostRuns = 0
  const idleEndMs = performance.now() + IDLE_MS
  while (performance.now() < idleEndMs) {
    mostRuns = Math.max(mostRuns, countRuns())
    await sleep(50)
  }
  for (const { executor, task, run, outcome } of cell.executors.flatMap(({ ends }) => ends)) record.note(`ran ${task} run ${run} on ${executor}: ${outcome}`)
  const ran = new Set(cell.executors.flatMap(({ starts }) => starts.map(({ task }) => task.split('.')[0])))
  let waiting = 0
  for (const id of accepted) {
    const { status, body } = await cell.send(cell.instances[0], 'GET', id)
    record.note(`GET ${id}: ${status === 0 ? 'no answer' : status} ${body?.state ?? ''}; ${ran.has(id) ? 'started' : 'never started'}`)
    if (!ran.has(id) && body?.state !== 'completed') waiting++
  }
  const isBroken = waiting > 0 && mostRuns === 0
  return { isBroken, text: `${waiting} of ${accepted.length} accepted jobs have never started; most runs in the last ${IDLE_MS} ms: ${mostRuns}` }
})
