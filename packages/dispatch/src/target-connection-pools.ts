import { Client, Pool, type Dispatcher } from 'undici'
import type { TargetAddress } from './target-client.js'

const CONNECT_TIMEOUT_MS = 1000
/** Idle connections close early, so that a connection that has gone silent while idle is seldom used again. */
const KEEP_ALIVE_MS = 4000

/** One undici connection pool per target, bounded by the target's connection limit. */
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
   * Where to send an order. A non-idempotent one gets a new connection: an open one may have gone silent, and after a send
   * into it the outcome would stay unknown, because what was sent may still arrive.
   */
  getDispatcher (target: TargetAddress, isReusable: boolean): Dispatcher {
    if (isReusable) return this.getPool(target)
    return new Client(`http://${target.address}`, { connect: { timeout: CONNECT_TIMEOUT_MS } })
  }

  /** Drops the target's idle connections and lets requests in flight end, so that the next request opens a new connection. */
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
