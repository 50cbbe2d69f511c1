// Clients hand in many legal jobs, each of the largest number of tasks that is accepted, in bodies of about 100 bytes.

import { createId, PREFIX, runCase, SECOND_PREFIX, sleep } from '../stand-ins-3/cell.mjs'

const JOBS = 30
const WATCHED_MS = 45_000
const SMALL_JOB = { specification: 'small', steps: [{ count: 1, cpu: 1_000, taskMemoryMb: 1_000, estimatedMs: 800 }] }
/** A process ends by itself this often on this many machines: the rule Fault. */
const ENDS = 3
const MACHINES = 2

await runCase(import.meta.url, async ({ record, hasTrouble, startCell }) => {
  const cell = await startCell({ instances: 3, executors: 8, readDurationMs: () => 800 })
  const submit = async (number, body, prefix, label) => {
    const id = createId(number)
    const instance = cell.instances[number % cell.instances.length]
    const { status } = await cell.send(instance, 'POST', id, body, 3_000, prefix)
    record.note(`POST ${prefix}${id} at ${instance.name} (${label}, ${JSON.stringify(body).length} bytes): ${status === 0 ? 'no answer' : status}`)
    return status
  }
  for (let number = 1; number <= 3; number++) {
    if (await submit(number, SMALL_JOB, PREFIX, 'small') !== 200) throw new Error('a small job was not accepted')
  }
  await sleep(3_000)
  const count = hasTrouble ? 100_000 : 10
  const large = { specification: 'large', steps: [{ count, cpu: 100, taskMemoryMb: 10, estimatedMs: 800 }] }
  for (let number = 101; number < 101 + JOBS; number++) await submit(number, large, SECOND_PREFIX, `${count} tasks`)
  await sleep(WATCHED_MS)
  const counts = cell.instances.map(({ name }) => cell.ownEnds.filter((end) => end.name === name).length)
  record.note(`processes that ended by themselves, by machine: ${counts.join(', ')}; term ${cell.readTerm()}`)
  const machines = counts.filter((number) => number >= ENDS).length
  return { isBroken: machines >= MACHINES, text: `on ${machines} of ${counts.length} machines a process ended by itself ${ENDS} times or more` }
})
