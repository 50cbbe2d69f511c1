import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import { toRequestId, toTargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { RunOrder, RunReport } from '../src/target-client.js'
import { formatTaskId, WorkerSession } from '../src/worker-session.js'

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

async function waitUntil (isReached: () => boolean): Promise<void> {
  for (let turn = 0; turn < 500 && !isReached(); turn++) await new Promise((resolve) => { setTimeout(resolve, 10) })
}

// Guards against a task that runs twice: a sync for the worker's progress, answered before the task started and read after a later
// sync had listed the task, was taken as proof that the task is lost.
test('a listed task is not lost because an older sync does not list it', async (t) => {
  const held: ServerResponse[] = []
  const answer = (response: ServerResponse | undefined, tasks: unknown[]): void => {
    response?.end(JSON.stringify({ progress: 1, leaving: false, tasks }))
  }
  const server = createServer((request, response) => {
    request.resume()
    request.on('end', () => { held.push(response) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  const { port } = server.address() as AddressInfo
  const session = new WorkerSession({ id: toTargetId('w'), address: `127.0.0.1:${port}`, connections: 1 }, new SystemClock(), () => {})
  t.teardown(() => { session.close() })
  const reports: RunReport[] = []
  const progress = session.readProgress()
  await waitUntil(() => held.length === 1)
  void session.track(ORDER).then((report) => { reports.push(report) })
  await waitUntil(() => held.length === 2)
  answer(held[1], [{ taskId: formatTaskId(ORDER), state: 'running' }])
  await waitUntil(() => held.length === 3)
  answer(held[0], [])
  await progress
  t.deepEqual(reports, [])
})
