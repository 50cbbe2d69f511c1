import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { CellProcess } from './cell-process.js'
import { TcpProxy } from '@hibiscusledge/stand-ins/tcp-proxy.js'
import { findFreePorts } from '@hibiscusledge/stand-ins/free-ports.js'
import type { ExecutorRun } from '@hibiscusledge/stand-ins/executor-stand-in.js'
import type { TaskRecord, TaskViolation } from '@hibiscusledge/stand-ins/task-log.js'
import { waitUntil } from './wait-until.js'

const START_ATTEMPTS = 5
const TABLES_AUTHOR = 'cell'
const START_TIMEOUT_MS = 60_000

/** Targets of one kind that one stand-in process simulates. */
export interface TargetGroup {
  readonly kind: 'executor' | 'worker'
  readonly idPrefix: string
  readonly count: number
  readonly failureDomains: readonly string[]
  readonly rackSize: number
  /** Log-normal service times, one `kind=medianMs:sigma` each. */
  readonly serviceMs: readonly string[]
}

export interface CellOptions {
  readonly groups: readonly TargetGroup[]
  readonly instances: number
  readonly failureDomains: readonly string[]
  readonly seed: number
  readonly instanceFlags?: readonly string[]
}

export interface CellInstance {
  readonly id: string
  readonly process: CellProcess
  /** `host:port` of the proxy through which other instances reach this one. */
  readonly peerAddress: string
  /** Forwards the connections that other instances open to this one. */
  readonly peerProxy: TcpProxy
  /** Forwards the connections of this instance to the store. */
  readonly storeProxy: TcpProxy
  /** Origin of the HTTP API. */
  readonly origin: string
}

interface StandInAddresses {
  readonly admin: string
  readonly store?: string
}

/** A cell: a complete cluster of local processes on the loopback interface, with a store, targets and instances. */
export class Cell {
  readonly logDirectory = mkdtempSync(join(tmpdir(), 'hibiscusledge-cell-'))
  readonly instances: CellInstance[] = []
  readonly #options: CellOptions
  readonly #processes: CellProcess[] = []
  readonly #proxies: TcpProxy[] = []
  readonly #adminUrls = new Map<string, string>()
  #storeEndpoint = ''
  #startedInstances = 0

  constructor (options: CellOptions) {
    this.#options = options
  }

  async start (): Promise<void> {
    const store = await this.#startStandIn('store', 'store-stand-in-main', ['--port', '0'])
    this.#storeEndpoint = `http://${store.store ?? ''}`
    await Promise.all(this.#options.groups.map((group) => this.#startTargetGroup(group, this.readAdminUrl('store'))))
    await Promise.all(Array.from({ length: this.#options.instances }, () => this.startInstance()))
  }

  /**
   * Starts one more instance and waits until it serves its API. Retries with other ports when another process took one of
   * the free ports before the instance listened on it.
   */
  async startInstance (): Promise<CellInstance> {
    for (let attempt = 1; attempt <= START_ATTEMPTS; attempt++) {
      const instance = await this.#tryStartInstance()
      if (instance.process.isRunning()) {
        this.instances.push(instance)
        return instance
      }
    }
    throw new Error(`no instance started in ${START_ATTEMPTS} attempts; see the logs in ${this.logDirectory}`)
  }

  async #tryStartInstance (): Promise<CellInstance> {
    const index = this.#startedInstances++
    const { failureDomains, instanceFlags } = this.#options
    const id = `instance-${index + 1}`
    const [apiPort = 0, peerPort = 0] = await findFreePorts(2)
    const peerProxy = new TcpProxy(peerPort)
    const storeProxy = new TcpProxy(Number(new URL(this.#storeEndpoint).port))
    this.#proxies.push(peerProxy, storeProxy)
    const peerAddress = `127.0.0.1:${await peerProxy.start()}`
    const seedAddresses = this.instances.map(({ peerAddress: address }) => address)
    const origin = `http://127.0.0.1:${apiPort}`
    const process = this.#startProcess(id, resolveMainFile('@hibiscusledge/entry/hibiscusledge.js'), [
      '--instance-id', id,
      '--failure-domain', failureDomains[index % failureDomains.length] ?? '',
      '--api-host', '127.0.0.1', '--api-port', String(apiPort),
      '--peer-host', '127.0.0.1', '--peer-port', String(peerPort), '--peer-advertise', peerAddress,
      '--store-endpoints', `http://127.0.0.1:${await storeProxy.start()}`,
      '--instance-list-url', `${this.readAdminUrl('store')}/instances`,
      ...(seedAddresses.length === 0 ? [] : ['--peers', seedAddresses.join(',')]),
      ...(instanceFlags ?? [])
    ])
    const instance = { id, process, origin, peerProxy, storeProxy, peerAddress }
    await waitUntil(async () => await readStatusCode(`${origin}/healthz`) === 200 || !process.isRunning(), START_TIMEOUT_MS, `${id} to serve`)
    return instance
  }

  /** Applies tables through the first instance, waits until every instance is ready, and returns their revision. */
  async applyTables (tables: { routes: string, pools: string }, expectedRevision = 0): Promise<number> {
    let revision = 0
    await waitUntil(async () => {
      const body = JSON.stringify({ ...tables, expectedRevision, author: TABLES_AUTHOR })
      const response = await sendJson('PUT', `${this.instances[0]?.origin ?? ''}/v1/tables`, body)
      if (response?.status === 400) throw new Error(`the tables were rejected: ${JSON.stringify(response.body)}`)
      const { revision: accepted, currentRevision, currentAuthor } = (response?.body ?? {}) as Readonly<Record<string, unknown>>
      // An earlier attempt may have been accepted although its response reported an unknown outcome.
      const isOwnChange = response?.status === 409 && currentAuthor === TABLES_AUTHOR
      revision = Number(isOwnChange ? currentRevision : accepted)
      return response?.status === 200 || isOwnChange
    }, START_TIMEOUT_MS, 'the tables to be accepted')
    await waitUntil(() => this.isReady(), START_TIMEOUT_MS, 'all instances to be ready')
    return revision
  }

  async isReady (): Promise<boolean> {
    const codes = await Promise.all(this.instances.map(({ origin, process }) => process.isRunning() ? readStatusCode(`${origin}/readyz`) : 200))
    return codes.every((code) => code === 200)
  }

  /** Waits until every instance lists all units with an owner and the load of every shard, that is of every unit but the 16 partitions. */
  async waitForOwners (unitCount: number): Promise<void> {
    await waitUntil(async () => {
      const areComplete = await Promise.all(this.instances.filter(({ process }) => process.isRunning()).map(async ({ origin }) => {
        const status = await readJson(`${origin}/v1/status`) as { units?: unknown[], loads?: unknown[] } | undefined
        return (status?.units?.length ?? 0) >= unitCount && (status?.loads?.length ?? 0) >= unitCount - 16
      }))
      return areComplete.every((isComplete) => isComplete)
    }, START_TIMEOUT_MS, `${unitCount} units to have owners`)
  }

  /** Returns the name and the process id of every running process of the cell. */
  listProcesses (): Array<{ name: string, pid: number }> {
    return this.#processes.filter((process) => process.isRunning()).map(({ name, pid }) => ({ name, pid }))
  }

  /** Returns the origin of a stand-in's admin API. */
  readAdminUrl (name: string): string {
    return this.#adminUrls.get(name) ?? ''
  }

  /** Sets faults on a stand-in; a fault that is not given keeps its value. */
  async setFaults (name: string, faults: unknown): Promise<void> {
    await sendJson('POST', `${this.readAdminUrl(name)}/admin/faults`, JSON.stringify(faults))
  }

  /** Changes the state of a target in the instance list, which shows the change after `lagMs`. */
  async setTargetState (id: string, state: 'live' | 'leaving' | 'gone', lagMs = 0): Promise<void> {
    await sendJson('POST', `${this.readAdminUrl('store')}/admin/instances`, JSON.stringify({ set: [{ id, state }], lagMs }))
  }

  async readExecutorRuns (): Promise<ExecutorRun[]> {
    const logs = await Promise.all(this.#listGroupNames('executor').map((name) => readJson(`${this.readAdminUrl(name)}/log`)))
    return logs.flatMap((log) => (log as { runs: ExecutorRun[] }).runs)
  }

  /** Returns the number of progress polls that each executor has received, by its id. */
  async readProgressPolls (): Promise<Map<string, number>> {
    const logs = await Promise.all(this.#listGroupNames('executor').map((name) => readJson(`${this.readAdminUrl(name)}/log`)))
    return new Map(logs.flatMap((log) => Object.entries((log as { progressPolls: Record<string, number> }).progressPolls)))
  }

  async readTaskRecords (): Promise<{ records: TaskRecord[], violations: TaskViolation[] }> {
    const logs = await Promise.all(this.#listGroupNames('worker').map((name) => readJson(`${this.readAdminUrl(name)}/log`)))
    const taskLogs = logs as Array<{ uses: TaskRecord[], violations: TaskViolation[] }>
    return { records: taskLogs.flatMap(({ uses }) => uses), violations: taskLogs.flatMap(({ violations }) => violations) }
  }

  /** Kills every process of the cell and closes its proxies. */
  async stop (): Promise<void> {
    await Promise.all(this.#processes.map((process) => process.kill()))
    await Promise.all(this.#proxies.map((proxy) => proxy.stop()))
  }

  #listGroupNames (kind: TargetGroup['kind']): string[] {
    return this.#options.groups.filter((group) => group.kind === kind).map(({ idPrefix }) => idPrefix)
  }

  async #startTargetGroup (group: TargetGroup, storeAdminUrl: string): Promise<void> {
    await this.#startStandIn(group.idPrefix, `${group.kind}-stand-in-main`, [
      '--count', String(group.count), '--id-prefix', group.idPrefix, '--failure-domains', group.failureDomains.join(','),
      '--rack-size', String(group.rackSize), '--seed', String(this.#options.seed), '--register', storeAdminUrl,
      ...group.serviceMs.flatMap((text) => ['--service-ms', text])
    ])
  }

  async #startStandIn (name: string, mainName: string, flags: readonly string[]): Promise<StandInAddresses> {
    const standIn = this.#startProcess(name, resolveMainFile(`@hibiscusledge/stand-ins/${mainName}.js`), flags)
    const addresses = JSON.parse(await standIn.waitForFirstLine()) as StandInAddresses
    this.#adminUrls.set(name, `http://${addresses.admin}`)
    return addresses
  }

  #startProcess (name: string, mainFile: string, flags: readonly string[]): CellProcess {
    const cellProcess = new CellProcess({ name, mainFile, flags, logFile: join(this.logDirectory, `${name}.log`) })
    this.#processes.push(cellProcess)
    return cellProcess
  }
}

/** Sends JSON and returns the parsed response, or undefined when the request fails or the response is not JSON. */
export async function sendJson (method: 'POST' | 'PUT', url: string, body: string): Promise<{ status: number, body: unknown } | undefined> {
  try {
    const response = await request(url, { method, body, headers: { 'content-type': 'application/json' } })
    return { status: response.statusCode, body: await response.body.json() }
  } catch {
    return undefined
  }
}

/** Returns the parsed response to a GET request, or undefined when the request fails or the response is not JSON. */
export async function readJson (url: string): Promise<unknown> {
  try {
    return await (await request(url)).body.json()
  } catch {
    return undefined
  }
}

async function readStatusCode (url: string): Promise<number> {
  try {
    const response = await request(url)
    await response.body.dump()
    return response.statusCode
  } catch {
    return 0
  }
}

function resolveMainFile (specifier: string): string {
  return fileURLToPath(import.meta.resolve(specifier))
}
