// The store refuses most calls of one machine with 429 and loses answers of writes. Clients hand jobs in at that machine, once each.
// REFUSED: a job is answered 503, and it runs.
import { findFolder, pause, runCase } from '../stand-ins-2/cell.mjs'

/** In each spell the store refuses one of three machines for this time, and meanwhile loses answers of all machines' writes. */
const REFUSAL_MS = 9_000
const LOSS_MS = 4_500
const SPELLS = 6
const REFUSED_SHARE = 0.85
const LOST_SHARE = 0.35
const JOBS_PER_SPELL = 90
const FINISH_MS = 14_000

const executors = Array.from({ length: 6 }, (_, index) => ({ id: `e${index}`, labels: ['a', 'r1-1'] }))
const route = { priority: 0, maxAttempts: 4, stretch: 4, targetDurationMs: 250 }
const job = { specification: JSON.stringify({ ms: 200 }), steps: [{ count: 1, cpu: 500, taskMemoryMb: 256, estimatedMs: 200 }] }

await runCase({ folder: findFolder(import.meta.url), machines: 3, executors, route }, async (cell, hasTrouble) => {
  const owner = cell.findOwner()
  const refused = cell.machines.find((machine) => machine !== owner)
  const counts = { refused: 0, calls: 0, lost: 0, writes: 0 }
  const submissions = []
  for (let spell = 0; spell < SPELLS; spell++) {
    if (hasTrouble) startSpell(cell, refused, counts)
    const endMs = performance.now() + REFUSAL_MS
    for (let index = 0; index < JOBS_PER_SPELL; index++) {
      const id = `000000000000${(spell + 1).toString(16).padStart(2, '0')}${index.toString(16).padStart(2, '0')}`
      submissions.push(cell.send(refused, 'POST', id, job).then(({ status }) => ({ id, status })))
      await pause(LOSS_MS / JOBS_PER_SPELL)
    }
    await pause(endMs - performance.now())
  }
  cell.store.decideFault = () => undefined
  const answers = await Promise.all(submissions)
  await pause(FINISH_MS)
  cell.write(`store: ${counts.refused} of ${counts.calls} calls of ${refused.name} refused, ${counts.lost} of ${counts.writes} answers to writes lost`)
  const rejected = new Set(answers.filter(({ status }) => status === 429 || status === 503).map(({ id }) => id))
  const started = cell.starts.filter(({ task }) => rejected.has(task.split('.')[0]))
  cell.write(`clients: ${rejected.size} of ${answers.length} jobs rejected, ${answers.filter(({ status }) => status === 200).length} accepted`)
  if (started.length === 0) return undefined
  return `REFUSED: ${new Set(started.map(({ task }) => task.split('.')[0])).size} of ${rejected.size} jobs that were rejected at their only attempt have been started: ` +
    started.map(({ task }) => task).join(', ')
})

/** Starts a spell: most calls of one machine are refused, and of each three writes of all machines the answer of one is lost. */
function startSpell (cell, refused, counts) {
  const fromMs = performance.now()
  cell.write(`the store refuses ${REFUSED_SHARE} of the calls of ${refused.name} for ${REFUSAL_MS} ms and loses the answers to ${LOST_SHARE} of the writes for ${LOSS_MS} ms`)
  cell.store.decideFault = ({ machine, call }) => {
    const sinceMs = performance.now() - fromMs
    if (machine === refused.name && sinceMs < REFUSAL_MS) {
      counts.calls++
      if (Math.random() < REFUSED_SHARE) {
        counts.refused++
        return { status: 429, body: {} }
      }
    }
    if (call !== 'kv-txn' || sinceMs >= LOSS_MS) return undefined
    counts.writes++
    // Never more than the share.
    if (counts.lost + 1 > counts.writes * LOST_SHARE) return undefined
    counts.lost++
    return 'lose'
  }
}
