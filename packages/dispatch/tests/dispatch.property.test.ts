import test, { type ExecutionContext } from 'ava'
import fc from 'fast-check'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { toUnitId, type RequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { RunReport } from '../src/target-client.js'
import { FakeCluster } from './fake-cluster.js'
import type { RecordedSend } from './fake-targets.js'
import { PARTITION, SHARD, SHARD_B } from './fixtures.js'

const SEED = 20261204
const RUNS = 25
const WORKER_SHARD = toUnitId('worker/a')
const KINDS = ['enquiry', 'posting', 'plan', 'task'] as const
const REPORTS: readonly RunReport[] = [
  { type: 'succeeded', result: 1 }, { type: 'succeeded', result: 1 }, { type: 'failed', message: 'f' },
  { type: 'notRun', message: 'n', isLeaving: false }, { type: 'lost', message: 'l' }
]

const stepArbitrary = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('submit' as const), kind: fc.constantFrom(...KINDS) }) },
  { weight: 6, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 900 }) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('killHome' as const) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('moveShard' as const), unit: fc.constantFrom(SHARD, SHARD_B, WORKER_SHARD) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('pause' as const), name: fc.constantFrom('shard', 'other') }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('outage' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('loseReplies' as const), count: fc.integer({ min: 1, max: 3 }) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('cancel' as const), index: fc.nat(20) }) }
)
type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never

interface Submitted {
  readonly kind: typeof KINDS[number]
  readonly key: string
  readonly answers: string[]
  requestId: RequestId | undefined
}

class FaultSchedule {
  readonly cluster: FakeCluster
  readonly submitted: Submitted[] = []
  readonly #random: SeededRandomSource
  #coordinator = 'home'

  constructor (seed: number) {
    this.cluster = new FakeCluster(['home', 'next', 'shard', 'other', 'entry'], seed)
    this.#random = new SeededRandomSource(seed)
  }

  async start (): Promise<void> {
    await this.cluster.setOwner(PARTITION, 'home')
    for (const [unit, name] of [[SHARD, 'shard'], [SHARD_B, 'other'], [WORKER_SHARD, 'shard']] as const) await this.cluster.setOwner(unit, name)
    this.cluster.targets.decideEnd = ({ target }) => {
      const report = REPORTS[this.#random.drawInteger(target.startsWith('w') ? 5 : 4)]
      const afterMs = this.#random.drawInteger(1500) + 1
      return report === undefined || this.#random.drawInteger(10) === 0 ? undefined : { afterMs, report }
    }
    this.cluster.hub.decideDelivery = () => {
      const draw = this.#random.drawInteger(20)
      if (draw === 0) return []
      if (draw === 1) return [this.#random.drawInteger(300), this.#random.drawInteger(2000)]
      return draw < 6 ? [this.#random.drawInteger(300)] : [0]
    }
  }

  async apply (step: Step): Promise<void> {
    const { cluster } = this
    switch (step.type) {
      case 'submit': return this.#submit(step.kind)
      case 'wait': return await cluster.advance(step.ms)
      case 'killHome': return await this.#killCoordinator()
      case 'moveShard': {
        const owner = cluster.find('entry').context.ownership.findOwner(step.unit)?.instance
        await cluster.setOwner(step.unit, owner === 'shard' ? 'other' : 'shard')
        return
      }
      case 'pause': {
        const instance = cluster.find(step.name)
        instance.hasAuthority = !instance.hasAuthority
        return
      }
      case 'outage': return this.#setStore()
      case 'loseReplies':
        cluster.find(this.#coordinator).store.faults.loseNextReplies = step.count
        return
      case 'cancel': {
        const requestId = this.submitted[step.index]?.requestId
        if (requestId !== undefined) void cluster.find('entry').gateway.cancel(requestId)
      }
    }
  }

  /** Ends all faults and waits until every request has passed its deadline and the grace periods after it. */
  async endFaults (): Promise<void> {
    const { cluster } = this
    cluster.hub.decideDelivery = () => [0]
    for (const name of ['shard', 'other']) cluster.find(name).hasAuthority = true
    const { faults } = cluster.find(this.#coordinator).store
    Object.assign(faults, { isDown: false, loseNextReplies: 0 })
    await cluster.advance(16_000)
  }

  async lookup (requestId: RequestId): Promise<string> {
    let found = ''
    void this.cluster.find('entry').gateway.lookup(requestId).then((status) => {
      found = status.type === 'outcome' ? status.outcome.outcome : status.type
    })
    await this.cluster.advance(5)
    return found
  }

  #submit (kind: Submitted['kind']): void {
    const entry: Submitted = { kind, key: `k${this.submitted.length}`, answers: [], requestId: undefined }
    this.submitted.push(entry)
    const submission = {
      kind, customer: 'harambee', team: '', deadlineMs: 4000, payload: entry.key, idempotencyKey: entry.key, isWaiting: true, trace: undefined
    }
    void this.cluster.find('entry').gateway.submit(submission, new AbortController().signal).then((answer) => {
      if (answer.type === 'outcome') entry.requestId = answer.outcome.requestId
      entry.answers.push(answer.type === 'outcome' ? answer.outcome.outcome : answer.type)
    })
  }

  async #killCoordinator (): Promise<void> {
    if (this.#coordinator !== 'home') return
    this.cluster.kill('home')
    this.#coordinator = 'next'
    await this.cluster.setOwner(PARTITION, 'next')
  }

  #setStore (): void {
    const { faults } = this.cluster.find(this.#coordinator).store
    faults.isDown = !faults.isDown
  }
}

function isRun (send: RecordedSend): boolean {
  return send.report?.type !== 'notRun'
}

function isOverlapping (sends: readonly RecordedSend[]): boolean {
  return sends.some((left, index) => sends.slice(index + 1).some((right) =>
    left.atMs < (right.endedAtMs ?? Infinity) && right.atMs < (left.endedAtMs ?? Infinity)))
}

async function checkSchedule (t: ExecutionContext, seed: number, steps: readonly Step[]): Promise<void> {
  const schedule = new FaultSchedule(seed)
  await schedule.start()
  for (const step of steps) await schedule.apply(step)
  await schedule.endFaults()
  for (const { kind, key, answers, requestId } of schedule.submitted) {
    if (answers.length !== 1 || requestId === undefined) throw new Error(`${kind} ${key} has ${answers.length} answers`)
    const sends = schedule.cluster.targets.listSends(requestId)
    const runs = sends.filter(isRun)
    const outcomes = [answers[0], await schedule.lookup(requestId)]
    const details = `${kind} ${key}: ${outcomes.join(', ')}; ${sends.map((send) => `${send.attempt}@${send.target} ${send.report?.type}`).join(', ')}`
    if (outcomes.includes('notRun') && runs.length > 0) throw new Error(`reported as notRun, but sent to a target: ${details}`)
    if (kind === 'posting' && runs.length > 1) throw new Error(`non-idempotent request ran twice: ${details}`)
    if (kind === 'plan' && isOverlapping(runs)) throw new Error(`exclusive request ran on two targets at once: ${details}`)
    if (new Set(sends.map(({ attempt }) => attempt)).size !== sends.length) throw new Error(`attempt sent twice: ${details}`)
  }
  t.pass()
}

test('random faults: each caller gets one correct outcome, and no request runs more often than its kind allows', async (t) => {
  const scheduleArbitrary = fc.array(stepArbitrary, { minLength: 10, maxLength: 50 })
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 1_000_000 }), scheduleArbitrary, async (seed, steps) => {
    await checkSchedule(t, seed, steps)
  }), { seed: Number(process.env['DISPATCH_SEED'] ?? SEED), numRuns: Number(process.env['DISPATCH_RUNS'] ?? RUNS), endOnFailure: true, includeErrorInReport: true })
})
