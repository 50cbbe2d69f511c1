import { BOUNDS, sleep } from '../stand-ins/cell.mjs'
import { runCase } from '../stand-ins/run-case.mjs'

const EXECUTORS = 4
const STEP_MS = 4_000
const ROUNDS = 6
/** Clients hand jobs in at this pace, each by one call, and cancel them as soon as they are accepted. */
const JOB_PERIOD_MS = 20
const HAND_IN_MS = 1_300
/** Time from the start of the instance until the watches of the store hear nothing. */
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

/** Restarts one instance as planned. The store drops its history as it starts. Clients hand jobs in there and cancel them at another. */
async function playRound (cell, round, hasTrouble) {
  const owner = cell.findOwner()
  const [restarted, other] = cell.instances.filter((instance) => instance !== owner)
  if (hasTrouble) await restart(cell, restarted)
  const trouble = hasTrouble ? dropHistory(cell) : Promise.resolve()
  const acknowledgedAtMs = new Map()
  const clients = []
  const endMs = performance.now() + HAND_IN_MS
  for (let index = 0; performance.now() < endMs; index++) {
    clients.push(submitAndCancel(cell, restarted, other, formatId(round, index), acknowledgedAtMs))
    await sleep(JOB_PERIOD_MS)
  }
  await Promise.all([...clients, trouble])
  const calmFromMs = cell.record('calm').atMs + BOUNDS.contactMs
  await sleep(SETTLE_MS)
  for (const id of acknowledgedAtMs.keys()) await cell.call(other, 'GET', 'sanitizado', id)
  return findLateStarts(cell.events, acknowledgedAtMs, calmFromMs)
}

async function restart (cell, instance) {
  cell.record('terminate', { instance: instance.name })
  await cell.stopInstance(instance, 'SIGTERM')
  cell.restartInstance(instance)
  cell.record('restarted', { instance: instance.name })
}

async function dropHistory (cell) {
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
