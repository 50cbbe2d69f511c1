// Stand-in for an executor of the platform, over HTTP on loopback. A task's behaviour is read from the job's specification:
// `{"ms": 640}` ends `done` after 640 ms of work, `{"failsAfterMs": 150}` ends `failed`, `{"lasts": true}` works until stopped,
// `{"lasts": true, "failsOnceAfterMs": 8000}` does so too, but for its first run.
import { serveJson } from './json-server.mjs'

const HEARTBEAT_MS = 1_500
const MAXIMUM_LEASE_MS = 6_000
const STOP_MS = 100
const STARTUP_MS = 200
const MAXIMUM_ENDS = 500
/** gangWaitMs */
const GANG_WAIT_MS = 3_000

/** Tasks of which a run has started anywhere. */
const startedTasks = new Set()

/** Members of gangs that are present, by job, occurrence, step and run. */
const gangs = new Map()

export class Executor {
  /** Returns the milliseconds after which an order is carried out without an answer, by the life of that time; undefined for no fault. */
  decideLateness = () => undefined
  /** Whether the executor fails all that it starts, while it reports itself as sound. */
  failsStarts = false
  #options
  #store
  #record
  #server
  #port = 0
  #life
  #timer
  #sequence = 0

  /** `options`: id, service, zone, cpu, memoryMb, labels, needsTicket (whether the start of a task needs a ticket). `record` gets each start and end. */
  constructor (options, store, record) {
    this.#options = options
    this.#store = store
    this.#record = record
  }

  get id () { return this.#options.id }
  get labels () { return this.#options.labels }
  get cpu () { return this.#options.cpu }
  get born () { return this.#life.born }
  get isUp () { return this.#life !== undefined }

  async start () {
    this.#server = await serveJson(async (request) => await this.#serve(request), this.#port)
    this.#port = this.#server.port
    this.#life = { born: Date.now(), startedMs: performance.now(), fence: 0, runs: new Map(), closed: new Map(), ends: [], endCount: 0, untilMs: 0, lapsedMs: Number.NEGATIVE_INFINITY, waiting: new Set() }
    this.#sequence = 0
    this.#register()
    this.#timer = setInterval(() => this.#register(), HEARTBEAT_MS)
  }

  /** Crashes: connections close, and all runs end. The entry stays in the store for three heartbeats. */
  crash () {
    this.#server.close()
    clearInterval(this.#timer)
    for (const run of this.#life.runs.values()) {
      clearTimeout(run.timer)
      this.#record.recordEnd(this.id, run.task, run.run, 'crashed')
      run.leave?.('crashed')
    }
    clearTimeout(this.#life.leaseTimer)
    this.#life = undefined
    const atMs = performance.now()
    this.crashedAtMs = atMs
    setTimeout(() => { if (!this.isUp && this.crashedAtMs === atMs) this.#store.remove(`servers/${this.id}`) }, 3 * HEARTBEAT_MS).unref()
  }

  /** Changes what the next life of the executor is: its labels or its capacity. */
  change (options) {
    this.#options = { ...this.#options, ...options }
  }

  stop () {
    clearInterval(this.#timer)
    if (this.#life === undefined) return
    for (const run of this.#life.runs.values()) clearTimeout(run.timer)
    clearTimeout(this.#life.leaseTimer)
    this.#server.close()
  }

  /** Lists the tasks that run. */
  listRunning () {
    return this.#life === undefined ? [] : [...this.#life.runs.values()].map(({ task }) => task)
  }

  #register () {
    const { id, service, zone, cpu, memoryMb, labels } = this.#options
    this.#store.put(`servers/${id}`, {
      service,
      address: this.#server.address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: ++this.#sequence,
      born: this.#life.born,
      labels,
      capacity: { cpu, taskMemoryMb: memoryMb }
    })
  }

  async #serve (request) {
    const lateMs = this.decideLateness(request)
    if (lateMs === undefined) return await this.#carryOut(this.#life, request)
    setTimeout(() => {
      // Nobody waits for the answer any more.
      if (this.#life !== undefined) this.#carryOut(this.#life, { ...request, body: { ...request.body, waitMs: 0 } }).catch(() => {})
    }, lateMs).unref()
    return 'hang'
  }

  async #carryOut (life, { path, headers, body }) {
    if (headers['hibiscusledge-expected-instance'] !== this.id) return { status: 421, body: {} }
    if ((body.fencingToken ?? 0) < life.fence) return this.#refuse(life, 'fence')
    life.fence = Math.max(life.fence, body.fencingToken ?? 0)
    if (path === '/api/run-start') return this.#startRun(life, body)
    if (path === '/api/run-stop') return this.#stopRun(life, body)
    if (path === '/api/hold') return await this.#hold(life, body)
    return { status: 404, body: {} }
  }

  #startRun (life, { task, run, specification, untilMs, ticket, lastCheckpoint = '' }) {
    if (untilMs <= readClock(life)) return this.#refuse(life, 'late')
    this.#extend(life, untilMs)
    if (life.runs.has(`${task} ${run}`)) return { status: 200, body: { clockMs: readClock(life) } }
    if ((life.closed.get(task) ?? 0) >= run) return this.#refuse(life, 'old')
    if (this.#options.needsTicket(task) && ticket !== `ticket ${this.id} ${life.born} ${task.split('.').slice(0, 3).join('.')}`) return this.#refuse(life, 'ticket')
    const { ms = 0, gang = 0, failsOnceAfterMs, lasts = false, ...rest } = JSON.parse(specification)
    const failsAfterMs = startedTasks.has(task) ? rest.failsAfterMs : failsOnceAfterMs ?? rest.failsAfterMs
    startedTasks.add(task)
    const fails = failsAfterMs !== undefined || this.failsStarts
    const current = { task, run, lasts, startedMs: performance.now(), ms, checkpoint: lastCheckpoint }
    life.runs.set(`${task} ${run}`, current)
    this.#record.recordStart(this, task, run)
    if (gang > 0) this.#join(life, current, gang)
    else if (fails || !lasts) current.timer = setTimeout(() => this.#end(life, current, fails ? 'failed' : 'done'), fails ? failsAfterMs ?? 150 : ms)
    return { status: 200, body: { clockMs: readClock(life) } }
  }

  /** The members of a gang work from the moment when all are present, and end `done` together. */
  #join (life, current, size) {
    const key = `${current.task.split('.').slice(0, 3).join('.')} ${current.run}`
    const members = gangs.get(key) ?? new Set()
    gangs.set(key, members)
    const member = { end: (how) => { if (life === this.#life) this.#end(life, current, how) }, task: current.task }
    current.leave = (how) => {
      members.delete(member)
      if (how === 'done') return
      for (const other of [...members]) other.end('broken')
    }
    members.add(member)
    current.timer = setTimeout(() => this.#end(life, current, 'alone'), GANG_WAIT_MS)
    if (members.size < size) return
    setTimeout(() => { if (members.size === size) for (const other of [...members]) other.end('done') }, current.ms)
  }

  #stopRun (life, { task, run }) {
    life.closed.set(task, Math.max(run, life.closed.get(task) ?? 0))
    for (const current of life.runs.values()) {
      if (current.task !== task || current.run > run || current.isStopping) continue
      current.isStopping = true
      clearTimeout(current.timer)
      current.timer = setTimeout(() => this.#end(life, current, 'stopped'), STOP_MS)
    }
    return { status: 200, body: { clockMs: readClock(life) } }
  }

  async #hold (life, { lastSeen = 0, untilMs, waitMs = 0 }) {
    if (untilMs !== undefined) this.#extend(life, untilMs)
    for (const [number, task, run] of life.ends) if (number <= lastSeen) this.#record.recordNoted(this.id, task, run, life.lapsedMs)
    life.ends = life.ends.filter(([number]) => number > lastSeen)
    if (life.ends.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer)
          life.waiting.delete(finish)
          resolve()
        }
        const timer = setTimeout(finish, waitMs)
        life.waiting.add(finish)
      })
    }
    const nowMs = performance.now()
    const running = [...life.runs.values()].map(({ task, run, lasts, startedMs, ms, checkpoint }) => {
      const percent = lasts ? (nowMs - startedMs > STARTUP_MS ? 100 : 0) : Math.min(99, Math.floor((nowMs - startedMs) * 100 / Math.max(1, ms)))
      return [task, run, checkpoint, percent, 0]
    })
    return { status: 200, body: { clockMs: readClock(life), born: life.born, running, ended: life.ends.slice(0, MAXIMUM_ENDS) } }
  }

  #extend (life, untilMs) {
    if (readClock(life) >= life.untilMs) this.#lapse(life)
    life.untilMs = Math.max(life.untilMs, Math.min(untilMs, readClock(life) + MAXIMUM_LEASE_MS))
    clearTimeout(life.leaseTimer)
    life.leaseTimer = setTimeout(() => this.#lapse(life), life.untilMs - readClock(life))
  }

  #lapse (life) {
    life.lapsedMs = performance.now()
    for (const run of [...life.runs.values()]) this.#end(life, run, 'lapsed')
  }

  #end (life, current, how) {
    const { task, run, checkpoint } = current
    clearTimeout(current.timer)
    if (life !== this.#life || !life.runs.delete(`${task} ${run}`)) return
    life.closed.set(task, Math.max(run, life.closed.get(task) ?? 0))
    life.ends.push([++life.endCount, task, run, how, checkpoint])
    this.#record.recordEnd(this.id, task, run, how)
    current.leave?.(how)
    for (const finish of [...life.waiting]) finish()
  }

  #refuse (life, reason) {
    return { status: 409, body: { clockMs: readClock(life), reason } }
  }
}

function readClock ({ startedMs }) {
  return Math.floor(performance.now() - startedMs)
}
