import { Client, Pool, type Dispatcher } from 'undici'
import type { TargetAddress } from './target-client.js'

const CONNECT_TIMEOUT_MS = 1000
/** Idle connections are closed early, so that one that broke while idle, without an error, is seldom reused. */
const KEEP_ALIVE_MS = 4000

/** One undici connection pool per target, limited to the number of connections that the target accepts. */
export class TargetConnectionPools {
  readonly #pools = new Map<string, Pool>()

  getPool (target: TargetAddress): Pool {
    let pool = this.#pools.get(target.address)
    if (pool === undefined) {
      pool = new Pool(`http://${target.address}`, {
        connections: Math.max(1, target.connections - 1),
        pipelining: 1,
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_MS,
        connect: { timeout: CONNECT_TIMEOUT_MS }
      })
      this.#pools.set(target.address, pool)
    }
    return pool
  }

  /**
   * Returns the dispatcher for an order. A non-idempotent order gets a new connection: an open one may be broken without an
   * error, and the outcome of an order sent on it would stay unknown, because the order may still arrive.
   */
  getDispatcher (target: TargetAddress, isReusable: boolean): Dispatcher {
    if (isReusable) return this.getPool(target)
    return new Client(`http://${target.address}`, { connect: { timeout: CONNECT_TIMEOUT_MS } })
  }

  /** Makes the next request to the target open a new connection. Requests in flight on the old ones are completed. */
  replacePool (target: TargetAddress): void {
    const pool = this.#pools.get(target.address)
    this.#pools.delete(target.address)
    void pool?.close().catch(() => {})
  }

  async close (): Promise<void> {
    const pools = [...this.#pools.values()]
    this.#pools.clear()
    await Promise.all(pools.map((pool) => pool.destroy()))
  }
}
