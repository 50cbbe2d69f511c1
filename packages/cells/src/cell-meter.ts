import { readJson, type Cell } from './cell.js'
import type { CallCounters } from '@hibiscusledge/stand-ins/call-counter.js'
import { readCpuMs } from './process-meter.js'

export interface CellUsage {
  readonly seconds: number
  /** CPU time by process name; `meter` is this process, which runs the measurement and the proxies. */
  readonly cpuMs: ReadonlyMap<string, number>
  /** Bytes between instances, each counted once though one instance sends it and another receives it. */
  readonly peerBytes: number
  /** Bytes between instances and the store. */
  readonly storeBytes: number
  readonly storeReads: number
  readonly storeWrites: number
}

/** Measures what the processes of a cell use between `start` and `finish`. */
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
    if (start === undefined) throw new Error('finish() was called before start()')
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
      peerBytes: instances.reduce((sum, { peerProxy }) => sum + peerProxy.readForwardedBytes(), 0),
      storeBytes: instances.reduce((sum, { storeProxy }) => sum + storeProxy.readForwardedBytes(), 0),
      storeReads: counters.totals.reads,
      storeWrites: counters.totals.writes
    }
  }
}

/** Returns the CPU time of all instances together. */
export function sumInstanceCpuMs ({ cpuMs }: CellUsage): number {
  return [...cpuMs].filter(([name]) => name.startsWith('instance-')).reduce((sum, [, value]) => sum + value, 0)
}
