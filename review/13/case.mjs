// Three clients each hand in one legal job of very many short steps. Jobs that are handed in afterwards have to run.

import { createId, runCase, sleep } from '../stand-ins-3/cell.mjs'

const STEPS = 4_000
const CONTROL_JOBS = 6
const LATER_JOBS = 24
const SMALL_JOB = { specification: 'small', steps: [{ count: 1, cpu: 1_000, taskMemoryMb: 1_000, estimatedMs: 800 }] }
/** From the end of the traffic to the question for the jobs: finish_s. */
const FINISH_MS = 14_000
const IDLE_MS = 3_000

await runCase(import.meta.url, async ({ record, hasTrouble, startCell }) => {
  const cell = await startCell({ instances: 3, executors: 8, readDurationMs: () => 800 })
  const accepted = []
  const submit = async (number, body, label) => {
    const id = createId(number)
    const instance = cell.instances[number % cell.instances.length]
    const { status } = await cell.send(instance, 'POST', id, body)
    record.note(`POST ${id} at ${instance.name} (${label}, ${JSON.stringify(body).length} bytes): ${status === 0 ? 'no answer' : status}`)
    if (status >= 200 && status < 300) accepted.push({ id, instance, label })
  }
  const countStarts = () => cell.executors.reduce((sum, { starts }) => sum + starts.length, 0)

  for (let number = 1; number <= CONTROL_JOBS; number++) await submit(number, SMALL_JOB, 'small')
  await sleep(5_000)
  if (accepted.length < CONTROL_JOBS || countStarts() < CONTROL_JOBS) throw new Error('the first jobs did not run')
  const firstTerm = cell.readTerm()
  record.note(`the first ${CONTROL_JOBS} jobs ran; term ${firstTerm}`)

  const steps = Array.from({ length: hasTrouble ? STEPS : 30 }, () => ({ count: 1, cpu: 100, estimatedMs: 800 }))
  for (let number = 101; number <= 103; number++) await submit(number, { specification: 'large', steps }, `${steps.length} steps`)
  const startsBefore = countStarts()
  const pending = []
  for (let number = 201; number < 201 + LATER_JOBS; number++) {
    pending.push(submit(number, SMALL_JOB, 'small'))
    await sleep(1_000)
    if (number % 4 === 0) record.note(`starts since the large jobs: ${countStarts() - startsBefore}; term ${cell.readTerm()}`)
  }
  await Promise.all(pending)
  record.note('end of the traffic')
  await sleep(FINISH_MS)

  // The last IDLE_MS: whether anything runs on any executor, sampled often.
  let mostRuns = 0
  const startsThen = countStarts()
  const idleEndMs = performance.now() + IDLE_MS
  while (performance.now() < idleEndMs) {
    mostRuns = Math.max(mostRuns, cell.executors.reduce((sum, executor) => sum + executor.countRuns(), 0))
    await sleep(50)
  }
  const startsNow = countStarts()
  const ran = new Set(cell.executors.flatMap(({ starts }) => starts.map(({ task }) => task.split('.')[0])))
  const states = await Promise.all(accepted.map(async ({ id, instance, label }) => {
    const { status, body } = await cell.send(instance, 'GET', id, undefined, 5_000)
    record.note(`GET ${id} (${label}): ${status === 0 ? 'no answer' : status} ${body?.state ?? ''}; ${ran.has(id) ? 'started' : 'never started'}`)
    return body?.state
  }))
  const waiting = accepted.filter(({ id }, index) => !ran.has(id) && states[index] !== 'completed').length
  record.note(`${accepted.length} jobs accepted, ${waiting} of them never started; starts in the last ${IDLE_MS} ms: ${startsNow - startsThen}, most runs at a time: ${mostRuns}; all starts since the large jobs: ${startsNow - startsBefore}; term ${firstTerm} -> ${cell.readTerm()}; processes that ended by themselves: ${cell.ownEnds.length}`)
  const isBroken = waiting > 0 && mostRuns === 0 && startsNow === startsThen
  return { isBroken, text: `${waiting} accepted jobs have nothing running for ${IDLE_MS} ms while all executors are idle: ${isBroken}` }
})
