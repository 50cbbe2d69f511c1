import { HttpService } from './http-service.mjs'

const PAGE_SIZE = 500
const MAXIMUM_VALUE_BYTES = 1_048_576
const EXPIRY_PERIOD_MS = 20
const FORBIDDEN_PREFIXES = ['op/', 'servers/']

/** Stand-in for the platform's metadata store: one process, linearizable, nothing is lost. */
export class PlatformStore {
  #service = new HttpService(async (request) => await this.#serve(request))
  #items = new Map()
  #leases = new Map()
  /** Changes as `{ revision, events }`, oldest first. */
  #history = []
  #compactedRevision = 0
  #revision = 1
  #nextLease = 100
  #waiters = new Set()
  #isMute = false
  #timer

  get address () { return this.#service.address }

  async start () {
    await this.#service.listen()
    this.#timer = setInterval(() => { this.#expireLeases() }, EXPIRY_PERIOD_MS)
  }

  async stop () {
    clearInterval(this.#timer)
    await this.#service.stop()
  }

  /** Writes a value as the operator or an executor does. */
  put (key, value) {
    this.#apply([{ key, value: Buffer.from(JSON.stringify(value)).toString('base64'), lease: 0 }], [])
  }

  remove (key) {
    this.#apply([], [key])
  }

  readText (key) {
    const item = this.#items.get(key)
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8')
  }

  /** Watches hear nothing until the history is dropped; then they are cut with 410. */
  muteWatches () {
    this.#isMute = true
  }

  dropHistory () {
    this.#isMute = false
    this.#history = []
    this.#compactedRevision = this.#revision
    this.#wakeWatches()
  }

  async #serve ({ method, path, query, body }) {
    const [, , call, id] = path.split('/')
    if (method === 'GET' && call === 'kv-key') return this.#readKey(query.get('key'))
    if (method === 'GET' && call === 'kv-range') return this.#readRange(query.get('prefix') ?? '', query.get('after') ?? '')
    if (method === 'GET' && call === 'kv-watch') return await this.#watch(query)
    if (method === 'POST' && call === 'kv-txn') return this.#commit(body)
    if (method === 'POST' && call === 'kv-lease') return this.#grantLease(body.ttlMs)
    if (method === 'POST' && call === 'kv-keep') return this.#keepLease(Number(id))
    if (method === 'DELETE' && call === 'kv-lease-end') return this.#endLease(Number(id))
    return { status: 404, body: {} }
  }

  #readKey (key) {
    const item = this.#items.get(key)
    if (item === undefined) return { status: 404, body: { storeRevision: this.#revision } }
    return { status: 200, body: { ...item, storeRevision: this.#revision } }
  }

  #readRange (prefix, after) {
    const keys = [...this.#items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort()
    const items = keys.slice(0, PAGE_SIZE).map((key) => this.#items.get(key))
    return { status: 200, body: { items, truncated: keys.length > PAGE_SIZE, storeRevision: this.#revision } }
  }

  async #watch (query) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const endMs = performance.now() + Number(query.get('waitMs') ?? 0)
    while (true) {
      if (after < this.#compactedRevision) return { status: 410, body: {} }
      const storeRevision = this.#revision
      const events = this.#history.filter(({ revision }) => revision > after).flatMap((change) => change.events)
        .filter(({ key }) => key.startsWith(prefix))
      if (events.length > 0 && !this.#isMute) return { status: 200, body: { events, storeRevision } }
      const leftMs = endMs - performance.now()
      if (leftMs <= 0 && !this.#isMute) return { status: 200, body: { events: [], storeRevision } }
      await this.#awaitChange(Math.max(10, leftMs))
    }
  }

  async #awaitChange (limitMs) {
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

  #commit ({ precondition = [], puts = [], deletes = [] }) {
    if (precondition.length + puts.length + deletes.length > 32 && Math.max(precondition.length, puts.length + deletes.length) > 32) {
      return { status: 400, body: {} }
    }
    const keys = [...puts.map(({ key }) => key), ...deletes]
    if (keys.some((key) => FORBIDDEN_PREFIXES.some((prefix) => key.startsWith(prefix)))) return { status: 403, body: {} }
    if (puts.some(({ value }) => Buffer.byteLength(value, 'base64') > MAXIMUM_VALUE_BYTES)) return { status: 400, body: {} }
    const isMet = precondition.every(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision)
    if (!isMet) return { status: 412, body: { items: precondition.flatMap(({ key }) => this.#items.get(key) ?? []) } }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return { status: 404, body: {} }
    this.#apply(puts, deletes)
    return { status: 200, body: { revision: this.#revision } }
  }

  #apply (puts, deletes) {
    const revision = this.#revision + 1
    const events = []
    for (const { key, value, lease = 0 } of puts) {
      const item = { key, value, revision, created: this.#items.get(key)?.created ?? revision, lease }
      this.#items.set(key, item)
      events.push(item)
    }
    for (const key of deletes) if (this.#items.delete(key)) events.push({ key, revision, removed: true })
    if (events.length === 0) return
    this.#revision = revision
    this.#history.push({ revision, events })
    this.#wakeWatches()
  }

  #wakeWatches () {
    for (const wake of [...this.#waiters]) wake()
  }

  #grantLease (ttlMs) {
    const lease = this.#nextLease++
    this.#leases.set(lease, { ttlMs, endsAtMs: performance.now() + ttlMs })
    return { status: 200, body: { lease, ttlMs } }
  }

  #keepLease (id) {
    this.#expireLeases()
    const lease = this.#leases.get(id)
    if (lease === undefined) return { status: 404, body: {} }
    lease.endsAtMs = performance.now() + lease.ttlMs
    return { status: 200, body: { ttlMs: lease.ttlMs } }
  }

  #endLease (id) {
    if (!this.#leases.delete(id)) return { status: 404, body: {} }
    this.#apply([], [...this.#items.values()].filter(({ lease }) => lease === id).map(({ key }) => key))
    return { status: 200, body: {} }
  }

  #expireLeases () {
    const nowMs = performance.now()
    for (const [id, { endsAtMs }] of [...this.#leases]) if (endsAtMs <= nowMs) this.#endLease(id)
  }
}
