// An executor whose tasks last: each is at work (percent 100) after a short startup and runs until it is stopped or its lease ends.

import { StandInServer } from '../../packages/stand-ins/dist/src/stand-in-server.js'

const STARTUP_MS = 300
const STOP_MS = 300
const LONGEST_ANSWER_WAIT_MS = 2_000

export class LastingExecutor {
  /** Executed starts: executor, task, run, atMs on the clock of this process. */
  starts = []
  ends = []
  #id
  #service
  #maximumLeaseMs
  #note
  #born = Date.now()
  #bornAtMs = performance.now()
  #runs = new Map()
  #closed = new Map()
  #unacknowledged = []
  #endCount = 0
  #fencingToken = 0
  #leaseUntilMs = 0
  #leaseTimer
  #waiters = new Set()
  #hasCrashed = false
  #server = new StandInServer(async (request) => await this.#serve(request))

  constructor ({ id, service, maximumLeaseMs, note }) {
    this.#id = id
    this.#service = service
    this.#maximumLeaseMs = maximumLeaseMs
    this.#note = note
  }

  async start () {
    return await this.#server.start(0)
  }

  async stop () {
    clearTimeout(this.#leaseTimer)
    for (const run of this.#runs.values()) clearTimeout(run.timer)
    for (const resume of this.#waiters) resume()
    await this.#server.stop()
  }

  /** Crashes for good: all runs end, and connections are closed and refused. */
  async crash () {
    this.#hasCrashed = true
    for (const run of [...this.#runs.values()]) this.#end(run, 'crashed')
    await this.#server.setRefusing(true)
  }

  countRuns () {
    return this.#runs.size
  }

  buildEntry (address, sequence) {
    return {
      service: this.#service,
      address,
      zone: 'bilbao',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence,
      born: this.#born,
      labels: ['a', 'r1'],
      capacity: { cpu: 16_000, taskMemoryMb: 65_536, gpu: 0 }
    }
  }

  #readClockMs () {
    return Math.floor(performance.now() - this.#bornAtMs)
  }

  async #serve ({ path, body, headers }) {
    if (this.#hasCrashed) return 'drop'
    const expected = headers['hibiscusledge-expected-instance']
    if (expected !== undefined && expected !== this.#id) return { status: 421, body: {} }
    const token = body?.fencingToken ?? 0
    if (token < this.#fencingToken) return this.#refuse('fence')
    this.#fencingToken = token
    if (path === '/api/run-start') return this.#startRun(body)
    if (path === '/api/run-stop') return this.#stopRun(body)
    if (path === '/api/hold') return await this.#report(body)
    return { status: 404, body: {} }
  }

  #startRun ({ task, run, untilMs }) {
    if (untilMs <= this.#readClockMs()) return this.#refuse('late')
    if (!this.#runs.has(`${task} ${run}`)) {
      if ((this.#closed.get(task) ?? 0) >= run) return this.#refuse('old')
      this.#runs.set(`${task} ${run}`, { task, run, startedAtMs: performance.now(), timer: undefined })
      this.starts.push({ executor: this.#id, task, run, atMs: performance.now() })
      this.#note(`${this.#id} starts ${task} run ${run}`)
    }
    this.#extendLease(untilMs)
    return { status: 200, body: { clockMs: this.#readClockMs() } }
  }

  #stopRun ({ task, run }) {
    this.#closed.set(task, Math.max(run, this.#closed.get(task) ?? 0))
    const current = this.#runs.get(`${task} ${run}`)
    if (current !== undefined) current.timer ??= setTimeout(() => this.#end(current, 'stopped'), STOP_MS)
    return { status: 200, body: { clockMs: this.#readClockMs() } }
  }

  async #report ({ lastSeen = 0, untilMs, waitMs = 0 }) {
    if (untilMs !== undefined) this.#extendLease(untilMs)
    this.#unacknowledged = this.#unacknowledged.filter(([number]) => number > lastSeen)
    if (this.#unacknowledged.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const resume = () => {
          clearTimeout(timer)
          this.#waiters.delete(resume)
          resolve()
        }
        const timer = setTimeout(resume, Math.min(waitMs, LONGEST_ANSWER_WAIT_MS))
        this.#waiters.add(resume)
      })
    }
    const nowMs = performance.now()
    const running = [...this.#runs.values()].map(({ task, run, startedAtMs }) => [task, run, '', nowMs - startedAtMs >= STARTUP_MS ? 100 : 0])
    return { status: 200, body: { clockMs: this.#readClockMs(), born: this.#born, running, ended: this.#unacknowledged } }
  }

  /** Extends the lease, which is shortened to its maximum. When it ends, all runs end. */
  #extendLease (untilMs) {
    const nowMs = this.#readClockMs()
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(untilMs, nowMs + this.#maximumLeaseMs))
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => { for (const run of [...this.#runs.values()]) this.#end(run, 'lapsed') }, this.#leaseUntilMs - nowMs)
  }

  #end ({ task, run, timer }, how) {
    clearTimeout(timer)
    if (!this.#runs.delete(`${task} ${run}`)) return
    this.#closed.set(task, Math.max(run, this.#closed.get(task) ?? 0))
    this.ends.push({ executor: this.#id, task, run, how, atMs: performance.now() })
    this.#note(`${this.#id} ends ${task} run ${run}: ${how}`)
    this.#unacknowledged.push([++this.#endCount, task, run, how, ''])
    for (const resume of [...this.#waiters]) resume()
  }

  #refuse (reason) {
    return { status: 409, body: { clockMs: this.#readClockMs(), reason } }
  }
}
