import { BOUNDS, sleep } from '../stand-ins/cell.mjs'
import { runCase } from '../stand-ins/run-case.mjs'

const EXECUTORS = 4
const STEP_MS = 4_000
const ROUNDS = 6
/** Clients hand jobs in at this pace, each by one call, and cancel them as soon as they are accepted. */
const JOB_PERIOD_MS = 20
const HAND_IN_MS = 1_300
/** Time from the kill of the instance until the watches of the store hear nothing. */
const MUTE_AFTER_MS = 150
const MUTE_MS = 1_000
const SETTLE_MS = 10_000

/** A plan of two steps. */
const job = {
  specification: 'plan',
  steps: [{ count: 1, cpu: 100, taskMemoryMb: 100, estimatedMs: STEP_MS }, { count: 1, cpu: 100, taskMemoryMb: 100, estimatedMs: STEP_MS, after: [0] }]
}

await runCase(import.meta.url, { instances: 3, executors: EXECUTORS, readTask: () => ({ workMs: STEP_MS, cpu: 100 }) }, async (cell, hasTrouble) => {
  const violations = []
  for (let round = 0; round < ROUNDS; round++) violations.push(...await playRound(cell, round, hasTrouble))
  return violations
})

/** Kills and restarts one instance while the store drops its history. Clients hand jobs in there and cancel them at another. */
async function playRound (cell, round, hasTrouble) {
  const owner = cell.findOwner()
  const [killed, other] = cell.instances.filter((instance) => instance !== owner)
  const trouble = hasTrouble ? disturb(cell, killed) : Promise.resolve()
  const acknowledgedAtMs = new Map()
  const clients = []
  const endMs = performance.now() + HAND_IN_MS
  for (let index = 0; performance.now() < endMs; index++) {
    clients.push(submitAndCancel(cell, killed, other, formatId(round, index), acknowledgedAtMs))
    await sleep(JOB_PERIOD_MS)
  }
  await Promise.all([...clients, trouble])
  const calmFromMs = cell.record('calm').atMs + BOUNDS.contactMs
  await sleep(SETTLE_MS)
  return findLateStarts(cell.events, acknowledgedAtMs, calmFromMs)
}

async function disturb (cell, killed) {
  cell.record('kill', { instance: killed.name })
  await cell.stopInstance(killed, 'SIGKILL')
  cell.restartInstance(killed)
  await sleep(MUTE_AFTER_MS)
  cell.record('watchesMute')
  cell.store.muteWatches()
  await sleep(MUTE_MS)
  cell.store.dropHistory()
  cell.record('historyDropped')
}

async function submitAndCancel (cell, first, second, id, acknowledgedAtMs) {
  const accepted = await cell.call(first, 'POST', 'sanitizado', id, job)
  if (accepted?.status !== 200) return
  const cancelled = await cell.call(second, 'DELETE', 'sanitizado', id)
  if (cancelled?.status === 200) acknowledgedAtMs.set(id, cell.record('cancelAcknowledged', { id }).atMs)
}

/** Returns the starts of cancelled jobs later than `cancel_ms` after the acknowledgement, with the machines in touch. */
function findLateStarts (events, acknowledgedAtMs, calmFromMs) {
  return events.flatMap(({ event, task, run, executor, atMs }) => {
    const cancelledAtMs = event === 'start' ? acknowledgedAtMs.get(task.split('.')[0]) : undefined
    if (cancelledAtMs === undefined || atMs <= cancelledAtMs + BOUNDS.cancel_ms || atMs <= calmFromMs) return []
    return [`UNASKED: run ${run} of ${task} started at ${atMs} on ${executor}; its cancelling was acknowledged at ${cancelledAtMs}`]
  })
}

function formatId (round, index) {
  return (round * 1_000 + index + 1).toString(16).padStart(16, '0')
}
