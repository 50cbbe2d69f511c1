// One large job is in progress when the process of the owner is killed once. The job and the others have to go on.

import { createId, PREFIX, runCase, SECOND_PREFIX, sleep } from '../stand-ins-3/cell.mjs'

const TASKS = 100_000
/** The owner is killed when this many tasks are done. */
const DONE_BEFORE_KILL = 50_000
const LONGEST_BEFORE_KILL_MS = 55_000
const SMALL_JOB = { specification: 'small', steps: [{ count: 1, cpu: 1_000, taskMemoryMb: 1_000, estimatedMs: 300 }] }
const LARGE_JOB = { specification: 'large', steps: [{ count: TASKS, cpu: 150, taskMemoryMb: 100, estimatedMs: 300 }] }
const LATER_JOBS = 12
/** From the end of the traffic to the question for the jobs: finish_s. */
const FINISH_MS = 14_000
const IDLE_MS = 3_000

await runCase(import.meta.url, async ({ record, hasTrouble, startCell }) => {
  const cell = await startCell({ instances: 3, executors: 8, readDurationMs: () => 300 })
  const accepted = []
  const submit = async (number, body, prefix = PREFIX) => {
    const id = createId(number)
    const instance = cell.instances[number % cell.instances.length]
    const { status } = await cell.send(instance, 'POST', id, body, 3_000, prefix)
    record.note(`POST ${prefix}${id} at ${instance.name} ${JSON.stringify(body)}: ${status === 0 ? 'no answer' : status}`)
    if (status >= 200 && status < 300) accepted.push({ id, instance, prefix })
  }
  const countStarts = () => cell.executors.reduce((sum, { starts }) => sum + starts.length, 0)
  const countDone = () => cell.executors.reduce((sum, { ends }) => sum + ends.filter(({ outcome }) => outcome === 'done').length, 0)

  await submit(1, LARGE_JOB, SECOND_PREFIX)
  await submit(2, SMALL_JOB)
  const sentAtMs = performance.now()
  while (countDone() < DONE_BEFORE_KILL && performance.now() - sentAtMs < LONGEST_BEFORE_KILL_MS) await sleep(200)
  if (accepted.length < 2 || countDone() < DONE_BEFORE_KILL / 2) throw new Error('the first jobs do not run')
  const firstTerm = cell.readTerm()
  record.note(`${countDone()} tasks done; term ${firstTerm}`)
  if (hasTrouble) {
    const owner = cell.findOwner()
    await cell.kill(owner)
    record.note(`killed the process of the owner, ${owner.name}, once; it starts again after 1 s`)
  }
  const startsBefore = countStarts()
  const pending = []
  for (let number = 101; number < 101 + LATER_JOBS; number++) {
    pending.push(submit(number, SMALL_JOB))
    await sleep(1_000)
    if (number % 3 === 0) record.note(`starts since the kill: ${countStarts() - startsBefore}; term ${cell.readTerm()}`)
  }
  await Promise.all(pending)
  record.note('end of the traffic')
  await sleep(FINISH_MS)

  let mostRuns = 0
  const startsThen = countStarts()
  const idleEndMs = performance.now() + IDLE_MS
  while (performance.now() < idleEndMs) {
    mostRuns = Math.max(mostRuns, cell.executors.reduce((sum, executor) => sum + executor.countRuns(), 0))
    await sleep(50)
  }
  const startsNow = countStarts()
  const ran = new Set(cell.executors.flatMap(({ starts }) => starts.map(({ task }) => task.split('.')[0])))
  const states = await Promise.all(accepted.map(async ({ id, instance, prefix }) => {
    const { status, body } = await cell.send(instance, 'GET', id, undefined, 5_000, prefix)
    record.note(`GET ${prefix}${id} at ${instance.name}: ${status === 0 ? 'no answer' : status} ${body?.state ?? ''}; ${ran.has(id) ? 'started' : 'never started'}`)
    return body?.state
  }))
  const waiting = accepted.filter(({ id }, index) => states[index] !== 'completed' && (!ran.has(id) || id === createId(1))).length
  record.note(`starts since the kill: ${startsNow - startsBefore}, in the last ${IDLE_MS} ms: ${startsNow - startsThen}, most runs at a time: ${mostRuns}; ${countDone()} tasks done; term ${firstTerm} -> ${cell.readTerm()}; processes that ended by themselves: ${cell.ownEnds.length}`)
  const isBroken = waiting > 0 && mostRuns === 0 && startsNow === startsThen
  return { isBroken, text: `${waiting} of ${accepted.length} accepted jobs are not done and have nothing running for ${IDLE_MS} ms while all executors are idle: ${isBroken}` }
})
