// Two gangs wait for room. The tasks of the second one request no capacity, which the protocol allows.

import { createId, PREFIX, runCase, SECOND_PREFIX, sleep } from '../stand-ins-3/cell.mjs'

const EXECUTORS = 4
const FILLER_MS = 90_000
const SECOND_GANGS = 12
const GAP_MS = 5_000
const FILLER = { specification: 'filler', steps: [{ count: EXECUTORS, cpu: 9_000, taskMemoryMb: 1_000, estimatedMs: FILLER_MS }] }
const WIDE_GANG = { specification: 'gang', steps: [{ count: EXECUTORS, cpu: 16_000, taskMemoryMb: 1_000, estimatedMs: 1_000, gang: true }] }
const SECOND_GANG = { specification: 'second gang', steps: [{ count: 2, estimatedMs: 100_000, gang: true }] }
/** A process ends by itself this often on this many machines: the rule Fault. */
const ENDS = 3
const MACHINES = 2

await runCase(import.meta.url, async ({ record, hasTrouble, startCell }) => {
  const cell = await startCell({ instances: 3, executors: EXECUTORS, readDurationMs: (task) => task.startsWith(createId(1)) ? FILLER_MS : 1_000 })
  const submit = async (number, body, prefix = PREFIX) => {
    const id = createId(number)
    // A client asks again at the next daemon after no answer or a broken connection.
    for (let attempt = 0; attempt < 4; attempt++) {
      const instance = cell.instances[(number + attempt) % cell.instances.length]
      const { status } = await cell.send(instance, 'POST', id, body, 3_000, prefix)
      record.note(`POST ${prefix}${id} at ${instance.name} ${JSON.stringify(body)}: ${status === 0 ? 'no answer' : status}`)
      if (status !== 0 && status !== 502 && status !== 504) return status
    }
    return 0
  }
  if (await submit(1, FILLER) !== 200) throw new Error('the filler was not accepted')
  await sleep(2_000)
  if (cell.executors.some((executor) => executor.countRuns() !== 1)) throw new Error('the filler does not run on each executor')
  await submit(2, WIDE_GANG)
  await sleep(1_000)
  // Without the disruption the tasks of the later gangs request as much capacity as most tasks do.
  const [step] = SECOND_GANG.steps
  const body = hasTrouble ? SECOND_GANG : { ...SECOND_GANG, steps: [{ ...step, cpu: 1_000, taskMemoryMb: 1_000 }] }
  for (let number = 3; number < 3 + SECOND_GANGS; number++) {
    const startedAtMs = performance.now()
    await submit(number, body, SECOND_PREFIX)
    await sleep(Math.max(0, GAP_MS - (performance.now() - startedAtMs)))
  }
  const counts = cell.instances.map(({ name }) => cell.ownEnds.filter((end) => end.name === name).length)
  record.note(`processes that ended by themselves, by machine: ${counts.join(', ')}; term ${cell.readTerm()}`)
  const machines = counts.filter((count) => count >= ENDS).length
  return { isBroken: machines >= MACHINES, text: `on ${machines} of ${counts.length} machines a process ended by itself ${ENDS} times or more` }
})
