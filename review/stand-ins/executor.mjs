import { HttpService } from './http-service.mjs'

const HEARTBEAT_MS = 1_500
const STOP_MS = 40
/** Time after which a task that lasts is at work. */
const STARTUP_MS = 500
const REPORTED_ENDS = 500

/**
 * Stand-in for one executor with 16 cores and 64 GB. It keeps to the platform's pages: fencing tokens, run numbers, leases on its
 * own clock, numbered ends, and a new life under the same id after a crash. `readTask` tells for each start how long the task
 * works, as `{ workMs, outcome }`; `record` receives what it starts and ends.
 */
export class Executor {
  #options
  #service = new HttpService(async (request) => await this.#serve(request))
  #isUp = false
  #born = 0
  #bootedAtMs = 0
  #sequence = 0
  #running = new Map()
  #closedRuns = new Map()
  #ends = []
  #endCount = 0
  #fencingToken = 0
  #untilMs = 0
  #leaseTimer
  #waiters = new Set()
  #heartbeat
  #isHanging = false

  /** `options`: id, service, rack, store, holdMaximumMs, cpu, memoryMb, readTask, record. */
  constructor (options) {
    this.#options = options
  }

  get id () { return this.#options.id }

  get isUp () { return this.#isUp }

  async start () {
    await this.#service.listen()
    this.#boot()
    this.#heartbeat = setInterval(() => { if (this.#isUp) this.#register() }, HEARTBEAT_MS)
  }

  async stop () {
    clearInterval(this.#heartbeat)
    this.#end()
    await this.#service.stop()
  }

  /** The process is killed: connections are reset and the port refuses new ones. */
  async crash () {
    this.#end()
    await this.#service.crash()
  }

  /** The process starts again under the same id and address, and knows nothing of before. */
  async restart () {
    await this.#service.listen()
    this.#boot()
  }

  /** Tasks that start from now on stand still until `resumeTasks`. Everything else works. */
  hangTasks () {
    this.#isHanging = true
  }

  resumeTasks () {
    this.#isHanging = false
    for (const [task, current] of this.#running) if (current.startedAtMs === undefined && current.timer === undefined) this.#work(task, current)
  }

  /** The machine loses power: connections fall silent. */
  losePower () {
    this.#end()
    this.#service.goDark()
  }

  regainPower () {
    this.#service.returnFromDark()
    this.#boot()
  }

  /** A partition from all machines of the system. The executor runs on and reaches the store. */
  cut () { this.#service.cut() }

  heal () { this.#service.heal() }

  countRunning () { return this.#running.size }

  listRunning () { return [...this.#running].map(([task, { run }]) => ({ task, run })) }

  readUsedCpu () { return [...this.#running.values()].reduce((sum, { cpu }) => sum + cpu, 0) }

  #boot () {
    this.#isUp = true
    this.#born = Date.now()
    this.#bootedAtMs = performance.now()
    this.#sequence = 0
    this.#running.clear()
    this.#closedRuns.clear()
    this.#ends = []
    this.#endCount = 0
    this.#fencingToken = 0
    this.#untilMs = 0
    this.#register()
  }

  /** Everything that runs ends with the process. */
  #end () {
    this.#isUp = false
    clearTimeout(this.#leaseTimer)
    for (const [task, { run, timer }] of this.#running) {
      clearTimeout(timer)
      this.#note('gone', { task, run })
    }
    this.#running.clear()
    this.#waiters.clear()
  }

  #note (event, fields) {
    this.#options.record(event, { executor: this.id, born: this.#born, ...fields })
  }

  #register () {
    const { store, id, service, rack, cpu, memoryMb } = this.#options
    store.put(`servers/${id}`, {
      service,
      address: this.#service.address,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: ++this.#sequence,
      born: this.#born,
      capacity: { cpu, taskMemoryMb: memoryMb, gpu: 0 },
      labels: ['a', rack]
    })
  }

  #readClockMs () { return performance.now() - this.#bootedAtMs }

  async #serve ({ method, path, headers, body }) {
    if (method === 'GET') return { status: 200, body: {} }
    const expected = headers['hibiscusledge-expected-instance']
    if (expected !== undefined && expected !== this.id) return { status: 421, body: {} }
    const { fencingToken = 0 } = body
    if (fencingToken < this.#fencingToken) return this.#refuse('fence')
    this.#fencingToken = fencingToken
    if (path === '/api/run-start') return this.#startRun(body)
    if (path === '/api/run-stop') return this.#stopRun(body)
    if (path === '/api/hold') return await this.#hold(body)
    return { status: 404, body: {} }
  }

  #refuse (reason) { return { status: 409, body: { clockMs: this.#readClockMs(), reason } } }

  #accept () { return { status: 200, body: { clockMs: this.#readClockMs() } } }

  #startRun ({ task, run, specification, untilMs }) {
    const { readTask } = this.#options
    if (untilMs <= this.#readClockMs()) return this.#refuse('late')
    this.#extendLease(untilMs)
    if (this.#running.get(task)?.run === run) return this.#accept()
    if (this.#running.has(task) || (this.#closedRuns.get(task) ?? 0) >= run) return this.#refuse('old')
    const { workMs, cpu = 1_000, outcome = 'done' } = readTask(task, specification)
    const current = { run, cpu, workMs, outcome, startedAtMs: undefined, timer: undefined }
    this.#running.set(task, current)
    this.#note('start', { task, run })
    if (!this.#isHanging) this.#work(task, current)
    return this.#accept()
  }

  /** Lets a task work. One whose work has no end lasts until it is stopped. */
  #work (task, current) {
    current.startedAtMs = performance.now()
    if (Number.isFinite(current.workMs)) current.timer = setTimeout(() => { this.#endRun(task, current.outcome) }, current.workMs)
  }

  #stopRun ({ task, run }) {
    const current = this.#running.get(task)
    this.#closedRuns.set(task, Math.max(run, this.#closedRuns.get(task) ?? 0))
    if (current !== undefined && current.run <= run) {
      clearTimeout(current.timer)
      current.timer = setTimeout(() => { this.#endRun(task, 'stopped') }, STOP_MS)
    }
    return this.#accept()
  }

  async #hold ({ untilMs, lastSeen = 0, waitMs = 0 }) {
    if (untilMs !== undefined) this.#extendLease(untilMs)
    for (const end of this.#ends) if (end.number <= lastSeen) this.#note('noted', { task: end.task, run: end.run, how: end.how, lastSeen })
    this.#ends = this.#ends.filter(({ number }) => number > lastSeen)
    if (this.#ends.length === 0 && waitMs > 0) await this.#awaitEnd(waitMs)
    const running = [...this.#running].map(([task, current]) => [task, current.run, '', readPercent(current), 0])
    const ended = this.#ends.slice(0, REPORTED_ENDS).map(({ number, task, run, how }) => [number, task, run, how, ''])
    return { status: 200, body: { clockMs: this.#readClockMs(), born: this.#born, running, ended } }
  }

  async #awaitEnd (limitMs) {
    await new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer)
        this.#waiters.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, limitMs)
      this.#waiters.add(finish)
    })
  }

  #extendLease (untilMs) {
    const clockMs = this.#readClockMs()
    this.#untilMs = Math.max(this.#untilMs, Math.min(untilMs, clockMs + this.#options.holdMaximumMs))
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => { for (const task of [...this.#running.keys()]) this.#endRun(task, 'lapsed') }, this.#untilMs - clockMs)
  }

  #endRun (task, how) {
    const current = this.#running.get(task)
    if (current === undefined) return
    clearTimeout(current.timer)
    this.#running.delete(task)
    this.#closedRuns.set(task, Math.max(current.run, this.#closedRuns.get(task) ?? 0))
    this.#ends.push({ number: ++this.#endCount, task, run: current.run, how })
    this.#note('end', { task, run: current.run, how, number: this.#endCount })
    for (const wake of [...this.#waiters]) wake()
  }
}

function readPercent ({ workMs, startedAtMs }) {
  if (startedAtMs === undefined) return 0
  const workedMs = performance.now() - startedAtMs
  return Number.isFinite(workMs) ? Math.min(99, Math.floor(workedMs * 100 / workMs)) : Math.min(100, Math.floor(workedMs * 100 / STARTUP_MS))
}
