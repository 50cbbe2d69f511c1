import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { z } from 'zod'

const instanceListEntry = z.object({
  targets: z.array(z.string()),
  labels: z.object({ id: z.string() }).catchall(z.string())
})
export type InstanceListEntry = z.output<typeof instanceListEntry>

/** Body of `POST /admin/instances`: entries to add or replace, states to set, and the delay until the list shows the change. */
export const instanceListChange = z.strictObject({
  instances: z.array(instanceListEntry).default([]),
  set: z.array(z.strictObject({ id: z.string(), state: z.enum(['live', 'leaving', 'gone']) })).default([]),
  lagMs: z.number().int().min(0).default(0)
})
export type InstanceListChange = z.output<typeof instanceListChange>

/** The platform's instance list, which lists the targets and shows each change after a configurable delay. */
export class InstanceListStandIn {
  readonly #clock: Clock
  readonly #entries = new Map<string, InstanceListEntry>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  applyChange (change: InstanceListChange): void {
    if (change.lagMs === 0) this.#apply(change)
    else this.#clock.startTimer(change.lagMs, () => this.#apply(change))
  }

  listEntries (): InstanceListEntry[] {
    return [...this.#entries.values()]
  }

  #apply (change: InstanceListChange): void {
    for (const entry of change.instances) this.#entries.set(entry.labels.id, entry)
    for (const { id, state } of change.set) {
      const entry = this.#entries.get(id)
      if (state === 'gone') this.#entries.delete(id)
      else if (entry !== undefined) this.#entries.set(id, { ...entry, labels: { ...entry.labels, state } })
    }
  }
}
