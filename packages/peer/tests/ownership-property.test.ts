import test from 'ava'
import fc from 'fast-check'
import { FakeCluster, type FakeProcess } from './fake-cluster.js'

const SEED = Number(process.env['PEER_PROPERTY_SEED'] ?? 20_261_204)
const RUNS = Number(process.env['PEER_PROPERTY_RUNS'] ?? 40)
/** A short limit of promise authority lets the schedules reach takeovers by instances outside the view. */
const TIMINGS = { outageLimitMs: 12_000 }

const ACTIONS = [
  'kill', 'restart', 'replaceElsewhere', 'pause', 'cutFromStore', 'joinStore', 'stopStore', 'startStore', 'losePartOfReplies', 'cutLink',
  'cutLinkOneWay', 'healLinks', 'join', 'drain', 'wait'
] as const

interface Step { readonly action: typeof ACTIONS[number], readonly target: number, readonly other: number, readonly durationMs: number }

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  action: fc.constantFrom(...ACTIONS), target: fc.nat(6), other: fc.nat(6), durationMs: fc.integer({ min: 20, max: 6_000 })
})

/** Applies one step of a schedule. Names are `1` to `7`; the newest process of a name is acted on. */
function applyStep (cluster: FakeCluster, { action, target, other, durationMs }: Step, size: number): void {
  const name = String(target % size + 1)
  const otherName = String(other % size + 1)
  const newest = cluster.processes.filter((process) => process.name === name).at(-1)
  if (action === 'stopStore' || action === 'startStore') cluster.store.isDown = action === 'stopStore'
  if (action === 'healLinks') cluster.fabric.cuts.clear()
  if (action === 'cutLink' || action === 'cutLinkOneWay') cluster.fabric.cuts.add(`${name}>${otherName}`)
  if (action === 'cutLink') cluster.fabric.cuts.add(`${otherName}>${name}`)
  if ((action === 'join' && newest === undefined) || (action === 'restart' && newest?.gate.isKilled() === true)) cluster.start(name)
  if (newest !== undefined) applyProcessStep(cluster, action, newest, durationMs)
}

function applyProcessStep (cluster: FakeCluster, action: Step['action'], { name, node, gate, store }: FakeProcess, durationMs: number): void {
  if (action === 'kill') gate.kill()
  if (action === 'replaceElsewhere') cluster.start(name, `10.0.1.${cluster.processes.length}:7000`)
  if (action === 'pause') {
    gate.pause()
    cluster.clock.startTimer(durationMs, () => gate.resume(durationMs % 2 === 0))
  }
  if (action === 'cutFromStore' || action === 'joinStore') store.isCut = action === 'cutFromStore'
  if (action === 'losePartOfReplies') {
    store.lostReplyShare = 0.3
    store.lateWriteShare = durationMs % 3 === 0 ? 0.3 : 0
  }
  if (action === 'drain') void node.drain()
}

test('two owners never have authority over one unit at the same time', async (t) => {
  const schedules = fc.record({ seed: fc.nat(), size: fc.integer({ min: 3, max: 7 }), steps: fc.array(stepArbitrary, { minLength: 8, maxLength: 24 }) })
  await fc.assert(fc.asyncProperty(schedules, async ({ seed, size, steps }) => {
    const cluster = new FakeCluster(seed, TIMINGS)
    for (let index = 1; index < size; index++) cluster.start(String(index))
    await cluster.run(2_500)
    for (const step of steps) {
      applyStep(cluster, step, size)
      await cluster.run(step.durationMs)
      if (cluster.violations.length > 0) throw new Error(cluster.violations.slice(0, 3).join('\n'))
    }
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  t.pass()
})
