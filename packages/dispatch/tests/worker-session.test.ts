import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import type { Timer } from '@hibiscusledge/runtime/clock.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { toRequestId, toTargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { RunOrder, RunReport } from '../src/target-client.js'
import { formatTaskId, WorkerSession } from '../src/worker-session.js'

interface Sync {
  readonly renew: string[]
  readonly acknowledge: string[]
  readonly atMs: number
}

/** Counts pending timers: a session has one whenever no sync call is in progress, so a test can wait for the end of a call. */
class CountingClock extends FakeClock {
  pending = 0

  override startTimer (delayMs: number, callback: () => void): Timer {
    this.pending++
    return super.startTimer(delayMs, () => {
      this.pending--
      callback()
    })
  }
}

/** A worker whose sync replies the test sets. */
class FakeWorker {
  readonly syncs: Sync[] = []
  readonly clock = new CountingClock()
  tasks: unknown[] = []
  isAnswering = true
  readonly #server: Server

  constructor () {
    this.#server = createServer((request, response) => {
      let text = ''
      request.on('data', (chunk: Buffer) => { text += chunk.toString() })
      request.on('end', () => {
        const { renew, acknowledge } = JSON.parse(text) as Pick<Sync, 'renew' | 'acknowledge'>
        this.syncs.push({ renew, acknowledge, atMs: this.clock.readMonotonicMs() })
        response.statusCode = this.isAnswering ? 200 : 500
        response.end(JSON.stringify({ progress: 1, leaving: false, tasks: this.tasks }))
      })
    })
  }

  async open (): Promise<WorkerSession> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    const { port } = this.#server.address() as AddressInfo
    return new WorkerSession({ id: toTargetId('w'), address: `127.0.0.1:${port}`, connections: 1 }, this.clock, () => {})
  }

  close (): void {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Advances the clock until the condition holds. Each step waits for the sync call in progress. */
  async advanceUntil (isReached: () => boolean, stepMs = 100, maxSteps = 400): Promise<void> {
    for (let step = 0; step < maxSteps && !isReached(); step++) {
      await this.clock.advanceBy(stepMs)
      // The wait is bounded, because a session without tasks has neither a timer nor a sync call.
      for (let turn = 0; turn < 20_000 && this.clock.pending === 0 && !isReached(); turn++) {
        await new Promise<void>((resolve) => { setImmediate(resolve) })
      }
    }
  }
}

const ORDER: RunOrder = {
  requestId: toRequestId('00-a'),
  attempt: 1,
  taskIndex: 0,
  kind: 'plan',
  isIdempotent: true,
  resources: { cores: 1, memoryMb: 1, accelerators: 0 },
  payload: null,
  checkpoint: undefined,
  timeoutMs: 1000,
  trace: undefined
}
const TASK_ID = formatTaskId(ORDER)

async function trackTask (worker: FakeWorker): Promise<{ session: WorkerSession, reports: RunReport[] }> {
  const session = await worker.open()
  const reports: RunReport[] = []
  void session.track(ORDER).then((report) => { reports.push(report) })
  await worker.advanceUntil(() => worker.syncs.length > 1)
  return { session, reports }
}

test('a worker that does not answer gets no renewals after 5 s, and its tasks are lost only after lease and margin', async (t) => {
  const worker = new FakeWorker()
  t.teardown(() => { worker.close() })
  worker.tasks = [{ taskId: TASK_ID, state: 'running' }]
  const { session, reports } = await trackTask(worker)
  worker.isAnswering = false
  const unansweredSinceMs = worker.clock.readMonotonicMs()
  await worker.advanceUntil(() => reports.length > 0)
  const endedAtMs = worker.clock.readMonotonicMs()
  t.is(reports[0]?.type, 'lost')
  const renewals = worker.syncs.filter(({ renew }) => renew.includes(TASK_ID)).map(({ atMs }) => atMs)
  const lastRenewalAtMs = Math.max(...renewals)
  t.true(lastRenewalAtMs - unansweredSinceMs <= 5500, `last renewal ${lastRenewalAtMs - unansweredSinceMs} ms after the last answer`)
  t.true(endedAtMs - lastRenewalAtMs > 20_000, `lost ${endedAtMs - lastRenewalAtMs} ms after the last renewal`)
  session.close()
})

test('a task that is no longer listed is lost at once, and one that was never listed only after its lease', async (t) => {
  for (const isSeen of [true, false]) {
    const worker = new FakeWorker()
    t.teardown(() => { worker.close() })
    worker.tasks = isSeen ? [{ taskId: TASK_ID, state: 'running' }] : []
    const { session, reports } = await trackTask(worker)
    const missingAtMs = worker.clock.readMonotonicMs()
    worker.tasks = []
    await worker.advanceUntil(() => reports.length > 0)
    t.is(reports[0]?.type, 'lost')
    const elapsedMs = worker.clock.readMonotonicMs() - missingAtMs
    t.is(elapsedMs > 15_000, !isSeen, `listed before: ${isSeen}, lost after ${elapsedMs} ms`)
    session.close()
  }
})

test('the acknowledgement of a task is repeated until the worker answers', async (t) => {
  const worker = new FakeWorker()
  t.teardown(() => { worker.close() })
  worker.tasks = [{ taskId: TASK_ID, state: 'completed', result: 7 }]
  const { session, reports } = await trackTask(worker)
  await worker.advanceUntil(() => reports.length > 0)
  t.deepEqual(reports, [{ type: 'succeeded', result: 7 }])
  worker.isAnswering = false
  const before = worker.syncs.length
  session.acknowledge(ORDER)
  await worker.advanceUntil(() => worker.syncs.length > before + 2)
  worker.isAnswering = true
  const repeated = worker.syncs.length
  await worker.advanceUntil(() => worker.syncs.length > repeated)
  t.true(worker.syncs.slice(before).every(({ acknowledge }) => acknowledge.includes(TASK_ID)))
  const answered = worker.syncs.length
  await worker.advanceUntil(() => false, 100, 3)
  t.true(worker.syncs.length - answered <= 1, 'no more syncs after the answer')
  session.close()
})

test('a closed session detaches its tasks, because another owner reports them', async (t) => {
  const worker = new FakeWorker()
  t.teardown(() => { worker.close() })
  const { session, reports } = await trackTask(worker)
  session.close()
  await worker.clock.advanceBy(10)
  t.deepEqual(reports, [{ type: 'detached' }])
})
