// A lasting task has to be started again after its executor is lost for good. The owner is killed shortly after.

import { createId, runCase, sleep } from '../../stand-ins-3/cell.mjs'
import { LastingExecutor } from '../../stand-ins-3/lasting-executor.mjs'

const TASKS = 6
const EXECUTORS = 8
/** holdMaximumMs of descanso-norte. */
const HOLD_MAXIMUM_MS = 10_000
/** From the crash of the executor to the kill of the owner. */
const GAP_MS = 1_500
/** Three heartbeat intervals, after which the store removes the entry of an executor that has crashed. */
const ENTRY_MS = 4_500
/** The bound of LOST: 3 s without a run, from 6 s after the task's last run, in a span of 3 s and 4 s that is calm. */
const LAST_RUN_MS = 6_000
const CALM_MS = 4_000
const IDLE_MS = 3_000
const WATCHED_MS = 25_000

await runCase(import.meta.url, async ({ record, hasTrouble, startCell }) => {
  const cell = await startCell({
    instances: 3,
    executors: EXECUTORS,
    holdMaximumMs: HOLD_MAXIMUM_MS,
    createExecutor: (index, service) => new LastingExecutor({ id: `e${index}`, service, maximumLeaseMs: HOLD_MAXIMUM_MS, note: record.note })
  })
  const id = createId(1)
  const body = { specification: 'lasting', steps: [{ count: TASKS, cpu: 4_000, taskMemoryMb: 4_000, estimatedMs: 1_000, longRunning: true, antiAffinity: 1 }] }
  const { status } = await cell.send(cell.instances[0], 'POST', id, body)
  record.note(`POST ${id} ${JSON.stringify(body)}: ${status}`)
  await sleep(8_000)
  const running = cell.executors.reduce((sum, executor) => sum + executor.countRuns(), 0)
  if (status !== 200 || running !== TASKS) throw new Error(`${running} of ${TASKS} tasks run`)

  const lost = cell.executors.findIndex((executor) => executor.countRuns() > 0)
  cell.silence(lost)
  await cell.executors[lost].crash()
  const crashedAtMs = performance.now()
  record.note(`e${lost} has crashed for good`)
  await sleep(GAP_MS)
  if (hasTrouble) {
    const owner = cell.findOwner()
    await cell.kill(owner)
    record.note(`killed the process of the owner, ${owner.name}; it starts again after 1 s`)
  }
  await sleep(ENTRY_MS - (performance.now() - crashedAtMs))
  cell.unregister(lost)
  const calmFromMs = performance.now()
  record.note(`the store has removed the entry of e${lost}; no disruption from here on; term ${cell.readTerm()}`)
  await sleep(WATCHED_MS - ENTRY_MS)

  // The earliest end of a span of 3 s that lies 6 s after the task's last run, and 4 s after the last disruption.
  const boundMs = Math.max(crashedAtMs + LAST_RUN_MS, calmFromMs + CALM_MS) + IDLE_MS
  const { task } = cell.executors[lost].ends.find(({ how }) => how === 'crashed')
  const next = cell.executors.flatMap(({ starts }) => starts).find((start) => start.task === task && start.atMs > crashedAtMs)
  const seconds = (atMs) => ((atMs - crashedAtMs) / 1_000).toFixed(2)
  const text = `${task} is started again ${next === undefined ? 'never' : `${seconds(next.atMs)} s after its executor crashed`}; bound ${seconds(boundMs)} s`
  return { isBroken: next === undefined || next.atMs > boundMs, text }
})
