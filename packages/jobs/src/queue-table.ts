import type { AccountConfiguration } from './accounts/account-table.js'
import type { QueuePolicy } from './job.js'

/** A queue that callers reach at a host and a path prefix. */
export interface Queue {
  readonly host: string
  readonly prefix: string
  readonly terms: QueuePolicy
  /** Whether callers need no API key. */
  readonly allowsAnonymous: boolean
}

/** Limits on the requests of callers. */
export interface RequestLimits {
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** The queues, client accounts and limits that the operators have configured. */
export interface QueueConfiguration {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly accounts: readonly AccountConfiguration[]
  readonly limits: RequestLimits
}

/** Finds queues by host and path. */
export class QueueTable {
  readonly #byHost = new Map<string, Queue[]>()

  constructor (queues: readonly Queue[]) {
    for (const queue of queues) this.#byHost.set(queue.host, [...this.#byHost.get(queue.host) ?? [], queue])
    for (const list of this.#byHost.values()) list.sort((left, right) => right.prefix.length - left.prefix.length)
  }

  /** Returns the queue of the host with the longest prefix of the path. */
  findQueue (host: string, path: string): Queue | undefined {
    return this.#byHost.get(host)?.find((queue) => path.startsWith(queue.prefix))
  }
}
