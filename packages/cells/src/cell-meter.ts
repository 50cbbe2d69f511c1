import { readJson, type Cell } from './cell.js'
import type { CallCounters } from '@hibiscusledge/stand-ins/call-counter.js'
import { readCpuMs } from './process-meter.js'

export interface CellUsage {
  readonly seconds: number
  /** CPU time by process name; the process that measures and carries the links is `meter`. */
  readonly cpuMs: ReadonlyMap<string, number>
  /** Bytes between instances; each is sent by one instance and received by another. */
  readonly peerBytes: number
  /** Bytes between instances and the store. */
  readonly storeBytes: number
  readonly storeReads: number
  readonly storeWrites: number
}

/** Measures what a cell uses between two points in time. */
export class CellMeter {
  readonly #cell: Cell
  #startTotals: CellUsage | undefined

  constructor (cell: Cell) {
    this.#cell = cell
  }

  async start (): Promise<void> {
    this.#startTotals = await this.#readTotals()
  }

  async finish (): Promise<CellUsage> {
    const [end, start] = [await this.#readTotals(), this.#startTotals]
    if (start === undefined) throw new Error('the meter was not started')
    return {
      seconds: end.seconds - start.seconds,
      cpuMs: new Map([...end.cpuMs].map(([name, cpuMs]) => [name, cpuMs - (start.cpuMs.get(name) ?? 0)])),
      peerBytes: end.peerBytes - start.peerBytes,
      storeBytes: end.storeBytes - start.storeBytes,
      storeReads: end.storeReads - start.storeReads,
      storeWrites: end.storeWrites - start.storeWrites
    }
  }

  async #readTotals (): Promise<CellUsage> {
    const counters = await readJson(`${this.#cell.readAdminUrl('store')}/admin/counters`) as CallCounters
    const { instances } = this.#cell
    const processes = [...this.#cell.listProcesses(), { name: 'meter', pid: process.pid }]
    return {
      seconds: performance.now() / 1000,
      cpuMs: new Map(processes.map(({ name, pid }) => [name, readCpuMs(pid)])),
      peerBytes: instances.reduce((sum, { peerRelay }) => sum + peerRelay.readForwardedBytes(), 0),
      storeBytes: instances.reduce((sum, { storeRelay }) => sum + storeRelay.readForwardedBytes(), 0),
      storeReads: counters.totals.reads,
      storeWrites: counters.totals.writes
    }
  }
}

/** CPU time of all instances together. */
export function sumInstanceCpuMs ({ cpuMs }: CellUsage): number {
  return [...cpuMs].filter(([name]) => name.startsWith('instance-')).reduce((sum, [, value]) => sum + value, 0)
}
