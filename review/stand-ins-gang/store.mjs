// Stand-in for the platform's metadata store: keys with revisions, leases, watches and transactions, over HTTP on loopback.
// Each machine of the system has a listener of its own, so that faults can be limited to the calls of one machine.
import { serveJson } from './json-server.mjs'

const ANSWER_MS = 4
const PAGE_SIZE = 500
const MAXIMUM_ENTRIES = 32
const HISTORY_MS = 20_000
const EXPIRY_PERIOD_MS = 20
const OPERATOR_PREFIXES = ['op/', 'servers/']

export class Store {
  /** Returns what happens to a call: undefined, a response that rejects it, or 'lose' to carry it out without an answer. */
  decideFault = () => undefined
  #items = new Map()
  #leases = new Map()
  #history = []
  #droppedRevision = 0
  #revision = 1
  #nextLease = 1
  #waiting = new Set()
  #servers = []
  #timer

  start () {
    this.#timer = setInterval(() => this.#expire(), EXPIRY_PERIOD_MS)
  }

  /** Opens a listener for the calls of one machine and returns its address. */
  async listen (machine) {
    const server = await serveJson(async (request) => await this.#serve(machine, request))
    this.#servers.push(server)
    return server.address
  }

  stop () {
    clearInterval(this.#timer)
    for (const server of this.#servers) server.close()
  }

  /** Writes a key as the operator or an executor does. */
  put (key, value) {
    this.#apply([{ key, text: JSON.stringify(value), lease: 0 }], [])
  }

  remove (key) {
    if (this.#items.has(key)) this.#apply([], [key])
  }

  /** Returns the parsed value of a key, for observations; undefined without the key. */
  read (key) {
    const item = this.#items.get(key)
    return item === undefined ? undefined : JSON.parse(item.text)
  }

  async #serve (machine, { method, path, query, body }) {
    const call = path.split('/')[2] ?? ''
    const fault = this.decideFault({ machine, call, method, path, query, body })
    if (typeof fault === 'object') return fault
    if (fault === 'hang') return 'hang'
    await delay(ANSWER_MS)
    const answer = await this.#answer(method, call, path, query, body)
    return fault === 'lose' ? 'hang' : answer
  }

  async #answer (method, call, path, query, body) {
    if (method === 'GET' && call === 'kv-key') return this.#readKey(query.get('key'))
    if (method === 'GET' && call === 'kv-range') return this.#listRange(query.get('prefix') ?? '', query.get('after') ?? '')
    if (method === 'GET' && call === 'kv-watch') return await this.#watch(query)
    if (method === 'POST' && call === 'kv-txn') return this.#commit(body)
    if (method === 'POST' && call === 'kv-lease') return this.#grant(body)
    if (method === 'POST' && call === 'kv-keep') return this.#renew(path.split('/')[3])
    if (method === 'DELETE' && call === 'kv-lease-end') return this.#end(path.split('/')[3])
    return { status: 404, body: {} }
  }

  #readKey (key) {
    const item = this.#items.get(key)
    if (item === undefined) return { status: 404, body: { storeRevision: this.#revision } }
    return { status: 200, body: { ...encodeItem(key, item), storeRevision: this.#revision } }
  }

  #listRange (prefix, after) {
    const keys = [...this.#items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort()
    const items = keys.slice(0, PAGE_SIZE).map((key) => encodeItem(key, this.#items.get(key)))
    return { status: 200, body: { items, truncated: keys.length > PAGE_SIZE, storeRevision: this.#revision } }
  }

  async #watch (query) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after') ?? 0)
    const endMs = performance.now() + Number(query.get('waitMs') ?? 0)
    while (true) {
      if (after < this.#droppedRevision) return { status: 410, body: {} }
      const events = this.#history.filter(({ revision, key }) => revision > after && key.startsWith(prefix)).map(({ event }) => event)
      const leftMs = endMs - performance.now()
      if (events.length > 0 || leftMs <= 0) return { status: 200, body: { events, storeRevision: this.#revision } }
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer)
          this.#waiting.delete(finish)
          resolve()
        }
        const timer = setTimeout(finish, leftMs)
        this.#waiting.add(finish)
      })
    }
  }

  #commit ({ precondition = [], puts = [], deletes = [] } = {}) {
    if (precondition.length + puts.length + deletes.length > MAXIMUM_ENTRIES) return { status: 400, body: {} }
    const keys = [...puts.map(({ key }) => key), ...deletes]
    if (keys.some((key) => OPERATOR_PREFIXES.some((prefix) => key.startsWith(prefix)))) return { status: 403, body: {} }
    const isMet = precondition.every(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision)
    if (!isMet) {
      const items = precondition.flatMap(({ key }) => this.#items.has(key) ? [encodeItem(key, this.#items.get(key))] : [])
      return { status: 412, body: { items } }
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return { status: 404, body: {} }
    const decoded = puts.map(({ key, value, lease = 0 }) => ({ key, text: Buffer.from(value, 'base64').toString('utf8'), lease }))
    return { status: 200, body: { revision: this.#apply(decoded, deletes) } }
  }

  #grant ({ ttlMs }) {
    const lease = this.#nextLease++
    this.#leases.set(lease, { ttlMs, endsAtMs: performance.now() + ttlMs })
    return { status: 200, body: { lease, ttlMs } }
  }

  #renew (id) {
    const lease = this.#leases.get(Number(id))
    if (lease === undefined) return { status: 404, body: {} }
    lease.endsAtMs = performance.now() + lease.ttlMs
    return { status: 200, body: { ttlMs: lease.ttlMs } }
  }

  #end (id) {
    if (!this.#leases.delete(Number(id))) return { status: 404, body: {} }
    this.#removeLeased(Number(id))
    return { status: 200, body: {} }
  }

  #expire () {
    const nowMs = performance.now()
    for (const [id, { endsAtMs }] of this.#leases) {
      if (endsAtMs > nowMs) continue
      this.#leases.delete(id)
      this.#removeLeased(id)
    }
    while (this.#history.length > 0 && this.#history[0].atMs < nowMs - HISTORY_MS) this.#droppedRevision = this.#history.shift().revision
  }

  #removeLeased (lease) {
    const keys = [...this.#items].filter(([, item]) => item.lease === lease).map(([key]) => key)
    if (keys.length > 0) this.#apply([], keys)
  }

  #apply (puts, deletes) {
    const revision = ++this.#revision
    const atMs = performance.now()
    for (const { key, text, lease } of puts) {
      const item = { text, lease, revision, created: this.#items.get(key)?.created ?? revision }
      this.#items.set(key, item)
      this.#history.push({ revision, key, atMs, event: encodeItem(key, item) })
    }
    for (const key of deletes) {
      if (this.#items.delete(key)) this.#history.push({ revision, key, atMs, event: { key, revision, removed: true } })
    }
    for (const finish of [...this.#waiting]) finish()
    return revision
  }
}

function encodeItem (key, { text, revision, created, lease }) {
  return { key, value: Buffer.from(text, 'utf8').toString('base64'), revision, created, lease }
}

async function delay (ms) {
  await new Promise((resolve) => { setTimeout(resolve, ms) })
}
