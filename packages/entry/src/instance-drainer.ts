import type { ShardRole } from '@hibiscusledge/dispatch/shard-role.js'
import type { PeerNode } from '@hibiscusledge/peer/peer-node.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { Drainer } from './drainer.js'

const POLL_PERIOD_MS = 50

export interface InstanceDrainerOptions {
  readonly node: PeerNode
  readonly shards: ShardRole
  readonly clock: Clock
  /** Called by `close` to stop the periodic work of other components. */
  readonly stopFunctions: ReadonlyArray<() => void>
}

/** Hands over the units of an instance and waits until the requests that its shards have sent are finished. */
export class InstanceDrainer implements Drainer {
  readonly #options: InstanceDrainerOptions

  constructor (options: InstanceDrainerOptions) {
    this.#options = options
  }

  async handOver (signal: AbortSignal): Promise<void> {
    const { node, shards, clock } = this.#options
    await node.drain()
    while (!signal.aborted && shards.countUnfinished() > 0) {
      await new Promise<void>((resolve) => { clock.startTimer(POLL_PERIOD_MS, resolve) })
    }
  }

  async close (): Promise<void> {
    const { node, shards, stopFunctions } = this.#options
    for (const stop of stopFunctions) stop()
    await shards.close()
    await node.stop()
  }
}
