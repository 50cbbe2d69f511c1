import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Executor } from './executor.mjs'
import { PlatformStore } from './platform-store.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const HOST = 'caller.example'
const SERVICE = 'turnos'
const READY_LIMIT_MS = 20_000

/** Bounds of the small Descanso deployment. */
export const BOUNDS = {
  contactMs: 3_000,
  ackDeadlineMs: 4_000,
  gracePeriodS: 6,
  configurationApplyMs: 2_000,
  holdMaximumMs: 10_000,
  stopTimeoutMs: 400,
  cancel_ms: 3_000,
  visible_ms: 3_000,
  finish_s: 14,
  status_s: 120,
  leaseDurationMs: 3_000
}

/** Queues of the small Descanso deployment, without the policy service. */
export const QUEUES = {
  sanitizado: { prefix: '/lohu930/', priority: 1, maxAttempts: 4, stretch: 2.2, targetDurationMs: 1_000 },
  reposicion: { prefix: '/pufi791/', priority: 2, maxAttempts: 3, stretch: 4, targetDurationMs: 3_000 },
  'estado-pod': { prefix: '/pule252/', priority: 0, maxAttempts: 3, stretch: 1.5, targetDurationMs: 250 }
}

export function sleep (ms) {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}

/** The deployed program as processes, with stand-ins of the platform, and a record of what was sent, answered and run. */
export class Cell {
  store = new PlatformStore()
  executors = []
  instances = []
  /** Everything that clients, executors and the script have seen, in order. */
  events = []
  #directory = mkdtempSync(join(tmpdir(), 'review-'))
  #recordPath
  #startedAtMs = performance.now()
  #options

  /** `options`: folder, instances, executors, readTask. */
  constructor (options) {
    this.#options = options
    this.#recordPath = join(options.folder, 'record.txt')
    writeFileSync(this.#recordPath, '')
  }

  record (event, fields = {}) {
    const entry = { atMs: Math.round(performance.now() - this.#startedAtMs), event, ...fields }
    this.events.push(entry)
    appendFileSync(this.#recordPath, `${JSON.stringify(entry)}\n`)
    return entry
  }

  async start () {
    await this.store.start()
    this.store.put('op/config', {
      version: 7,
      routes: Object.entries(QUEUES).map(([name, queue]) => ({ name, host: HOST, kind: 'unsafe', timeoutMs: 3_000, service: SERVICE, ...queue })),
      services: [{ name: SERVICE, healthPath: '/health', maxConnections: 64, protocol: 'h1', tls: false, admissionCheck: false, spare: false }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
    })
    for (let index = 0; index < this.#options.executors; index++) {
      const executor = new Executor({
        id: `i-${(4_096 + index).toString(16)}`,
        service: SERVICE,
        rack: `r1-${Math.floor(index / 6)}`,
        store: this.store,
        holdMaximumMs: BOUNDS.holdMaximumMs,
        cpu: 16_000,
        memoryMb: 65_536,
        readTask: this.#options.readTask,
        record: (event, fields) => this.record(event, fields)
      })
      this.executors.push(executor)
      await executor.start()
    }
    for (let index = 0; index < this.#options.instances; index++) await this.#addInstance(`frontend-${index}`)
    await this.#awaitReady()
  }

  async stop () {
    await Promise.all(this.instances.map(async (instance) => await this.stopInstance(instance, 'SIGKILL')))
    await Promise.all(this.executors.map(async (executor) => await executor.stop()))
    await this.store.stop()
    rmSync(this.#directory, { recursive: true, force: true })
  }

  findOwner () {
    const text = this.store.readText('owner/current')
    return text === undefined ? undefined : this.instances.find(({ name }) => name === JSON.parse(text).instance)
  }

  async stopInstance (instance, signal) {
    const { child } = instance
    if (child.exitCode !== null || child.signalCode !== null) return
    const exited = new Promise((resolve) => { child.once('exit', resolve) })
    child.kill('SIGCONT')
    child.kill(signal)
    await exited
  }

  restartInstance (instance) {
    instance.child = this.#spawn(instance)
  }

  /** Returns the lines that the instances have written to standard output. */
  readLogs () {
    return this.instances.map(({ name, lines }) => `== ${name}\n${lines.join('')}`).join('\n')
  }

  /** Sends a call as a client does. Returns the status; undefined without a response. */
  async call (instance, method, queue, id, body, limitMs = 3_000) {
    const path = `${QUEUES[queue].prefix}${id}`
    try {
      const response = await sendCall(instance.caller, method, path, body, limitMs)
      this.record('answer', { method, queue, id, instance: instance.name, status: response.status, state: response.body?.state })
      return response
    } catch (error) {
      this.record('noAnswer', { method, queue, id, instance: instance.name, error: String(error) })
      return undefined
    }
  }

  /** Hands a job in and tries again, like a client, until it is accepted. Returns whether it was. */
  async submit (queue, id, body, tries = 5, first = 0) {
    this.record('submit', { queue, id, body })
    for (let attempt = 0; attempt < tries; attempt++) {
      const instance = this.instances[(first + attempt) % this.instances.length]
      const response = await this.call(instance, 'POST', queue, id, body)
      if (response?.status === 200) return true
      await sleep(300)
    }
    return false
  }

  async #awaitReady () {
    const endMs = performance.now() + READY_LIMIT_MS
    while (performance.now() < endMs) {
      const answers = await Promise.all(this.instances.map(async (instance) => {
        return await sendCall(instance.caller, 'GET', QUEUES.reposicion.prefix, undefined, 1_000).catch(() => undefined)
      }))
      if (answers.every((answer) => answer?.status === 200)) return
      await sleep(200)
    }
    throw new Error('the instances did not become ready')
  }

  async #addInstance (name) {
    const [caller, ready, peer] = await findPorts()
    const instance = { name, caller: `127.0.0.1:${caller}`, settingsPath: join(this.#directory, `${name}.json`), lines: [], child: undefined }
    writeFileSync(instance.settingsPath, JSON.stringify({
      nodeName: name,
      role: 'scheduler',
      machineClass: 'frontend',
      serves: ['frontend'],
      ipAddress: '127.0.0.1',
      zone: 'zone-a',
      region: 'region-a',
      internalPortRange: [peer, peer + 1],
      listenAddresses: { frontend: `127.0.0.1:${caller}`, ready: `127.0.0.1:${ready}` },
      limits: { cpuShare: 0.675, cpuCores: 1, memoryMb: 350, fileDescriptors: 4_200 },
      bounds: BOUNDS,
      orders: 'call',
      advice: '',
      platform: { address: this.store.address, form: 'kv', writesPerS: 400, readsPerS: 2_000, historyS: 20, valueBytes: 1_048_576, ttlFloorMs: 1_000 }
    }))
    instance.child = this.#spawn(instance)
    this.instances.push(instance)
  }

  /** Starts the program with the command of the deploy file. */
  #spawn (instance) {
    const command = /^run = "([^"]+)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))?.[1] ?? ''
    const [program, ...parameters] = command.split(' ')
    const child = spawn(program, parameters, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, HIBISCUSLEDGE_BOOT: instance.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk) => { instance.lines.push(chunk.toString('utf8')) })
    child.once('exit', (code, signal) => { this.record('exit', { instance: instance.name, code, signal }) })
    return child
  }
}

async function sendCall (address, method, path, body, limitMs) {
  const { request } = await import('node:http')
  const [host, port] = address.split(':')
  const text = body === undefined ? '' : JSON.stringify(body)
  return await new Promise((resolve, reject) => {
    const call = request({
      host,
      port,
      method,
      path,
      agent: false,
      timeout: limitMs,
      headers: {
        host: HOST,
        'hibiscusledge-time-remaining': String(limitMs),
        ...(text === '' ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
      }
    }, (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('error', reject)
      response.on('end', () => {
        const content = Buffer.concat(chunks).toString('utf8')
        resolve({ status: response.statusCode, body: content === '' ? undefined : JSON.parse(content) })
      })
    })
    call.on('timeout', () => call.destroy(new Error('no response in time')))
    call.on('error', reject)
    call.end(text)
  })
}

/** Returns free ports: one for callers, one for readiness and the first of two successive ones for the links. */
async function findPorts () {
  while (true) {
    const servers = [await open(0), await open(0), await open(0)]
    const ports = servers.map((server) => server.address().port)
    const next = await open(ports[2] + 1).catch(() => undefined)
    for (const server of [...servers, next]) if (server !== undefined) await new Promise((resolve) => { server.close(resolve) })
    if (next !== undefined && !ports.slice(0, 2).includes(ports[2] + 1)) return ports
  }
}

async function open (port) {
  const server = createServer()
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', resolve)
  })
  return server
}
