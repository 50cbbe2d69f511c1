import type { ShardRole } from '@hibiscusledge/dispatch/shard-role.js'
import type { PeerNode } from '@hibiscusledge/peer/peer-node.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { Drainable } from './drainable.js'

const POLL_PERIOD_MS = 50

export interface InstanceDrainOptions {
  readonly node: PeerNode
  readonly shards: ShardRole
  readonly clock: Clock
  readonly stopFunctions: ReadonlyArray<() => void>
}

/** Gives the units of an instance away and waits for the requests that it has sent. */
export class InstanceDrain implements Drainable {
  readonly #options: InstanceDrainOptions

  constructor (parts: InstanceDrainOptions) {
    this.#options = parts
  }

  async handOver (signal: AbortSignal): Promise<void> {
    const { node, shards, clock } = this.#options
    await node.drain()
    while (!signal.aborted && shards.countUnfinished() > 0) {
      await new Promise<void>((resolve) => { clock.startTimer(POLL_PERIOD_MS, resolve) })
    }
  }

  async close (): Promise<void> {
    const { node, shards, stopFunctions: stopParts } = this.#options
    for (const stop of stopParts) stop()
    await shards.close()
    await node.stop()
  }
}
