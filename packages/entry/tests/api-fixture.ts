import type { EventLogger, LogFields } from '@hibiscusledge/runtime/event-logger.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { SilentSpanRecorder } from '@hibiscusledge/runtime/silent-span-recorder.js'
import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import type { CurrentTables } from '@hibiscusledge/tables/current-tables.js'
import type { TableSet } from '@hibiscusledge/tables/table-set.js'
import type { ApiContext } from '../src/api-context.js'
import { ApiServer } from '../src/api-server.js'
import { InstanceLifeCycle } from '../src/instance-life-cycle.js'
import { PendingCallers } from '../src/pending-callers.js'
import type { TableEditResult } from '../src/table-editor.js'
import { FakeGateway } from './fake-gateway.js'

export class RecordingEventLogger implements EventLogger {
  readonly events: { event: string, fields: LogFields }[] = []
  logInfo (event: string, fields: LogFields = {}): void { this.events.push({ event, fields }) }
  logWarning (event: string, fields: LogFields = {}): void { this.events.push({ event, fields }) }
  logError (event: string, fields: LogFields = {}): void { this.events.push({ event, fields }) }
}

export class FakeTableDirectory implements CurrentTables {
  tables: TableSet | undefined = {
    revision: 7, hash: 'f00d', texts: { routes: 'kind\npost\n', pools: 'pool\nledgers\n' }, routes: [], pools: []
  }

  readonly #listeners: ((tables: TableSet) => void)[] = []
  readCurrent (): TableSet | undefined { return this.tables }
  subscribe (listener: (tables: TableSet) => void): void { this.#listeners.push(listener) }
  publishTables (tables: TableSet): void {
    this.tables = tables
    for (const listener of this.#listeners) listener(tables)
  }
}

export interface ApiFixture {
  readonly port: number
  readonly api: ApiServer
  readonly context: ApiContext
  readonly gateway: FakeGateway
  readonly tables: FakeTableDirectory
  readonly logger: RecordingEventLogger
}

const EDIT_RESULTS_BY_AUTHOR: Readonly<Record<string, TableEditResult>> = {
  wanjiru: { type: 'accepted', revision: 8, hash: 'beef' },
  otieno: { type: 'invalid', findings: [{ code: 'unknownPool', place: 'routes.csv:2:4', message: 'no pool has this name' }] },
  achieng: {
    type: 'conflict',
    currentRevision: 7,
    currentAuthor: 'wanjiru',
    currentAppliedAt: '2026-01-02T03:04:05.000Z',
    expectedRevision: 3,
    author: 'achieng'
  },
  kamau: { type: 'unknown', reason: 'the store did not answer' }
}

export function createApiContext (overrides: Partial<ApiContext> = {}): ApiContext & Pick<ApiFixture, 'gateway' | 'tables' | 'logger'> {
  const gateway = new FakeGateway()
  const tables = new FakeTableDirectory()
  const logger = new RecordingEventLogger()
  return {
    settings: { instanceId: 'entry-a', failureDomain: 'nairobi-a', apiHost: '127.0.0.1', apiPort: 0, maxBodyBytes: 2_048, defaultWaitMs: 600_000 },
    gateway,
    tables,
    tableEditor: {
      applyTables: async (_texts, _revision, author) => {
        const answer = EDIT_RESULTS_BY_AUTHOR[author]
        if (answer === undefined) throw new Error('fault in the editor')
        return answer
      }
    },
    status: {
      readStatus: () => ({
        incarnation: '1f',
        members: [{ instance: 'entry-a', incarnation: '1f', failureDomain: 'nairobi-a', isDraining: false, isConnected: true }],
        units: [{ unit: 'partition/00', owner: 'entry-a', epoch: 4 }],
        loads: [],
        store: { isAvailable: true, lastAnswerAgeMs: 12 }
      })
    },
    lifeCycle: new InstanceLifeCycle(logger),
    pendingCallers: new PendingCallers(),
    clock: new SystemClock(),
    logger,
    metrics: new SilentMetricSink(),
    spans: new SilentSpanRecorder(new SeededRandomSource(1)),
    ...overrides
  } as ApiContext & Pick<ApiFixture, 'gateway' | 'tables' | 'logger'>
}

/** Starts the API on a free loopback port, with the instance in the state serving. */
export async function startApi (overrides: Partial<ApiContext> = {}): Promise<ApiFixture> {
  const context = createApiContext(overrides)
  const api = new ApiServer(context)
  const port = await api.start()
  context.lifeCycle.applyEvent('started')
  context.lifeCycle.applyEvent('joined')
  return { port, api, context, gateway: context.gateway, tables: context.tables, logger: context.logger }
}
