import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { waitUntil } from './wait-until.js'

/** Linux reports CPU times in units of 1/100 s on every architecture that Node.js supports. */
const MS_PER_TICK = 10
const HEAP_READ_TIMEOUT_MS = 10_000
const BYTES_PER_MB = 1_048_576

export interface HeapReading {
  readonly heapUsedMb: number
  readonly externalMb: number
  readonly residentMb: number
}

/** Returns the user and system CPU time of a process since its start. */
export function readCpuMs (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK
}

export function readResidentMb (pid: number): number {
  return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1024
}

/** Preloads heap-probe.ts into child processes and reads their heap through it. */
export class HeapMeter {
  readonly #directory = mkdtempSync(join(tmpdir(), 'hibiscusledge-heap-'))

  /** Applies to processes that are spawned from now on. */
  attach (): void {
    process.env['HEAP_PROBE_DIRECTORY'] = this.#directory
    process.env['NODE_OPTIONS'] = `--import ${new URL('heap-probe.js', import.meta.url).href}`
  }

  detach (): void {
    delete process.env['NODE_OPTIONS']
  }

  /** Returns the memory of a process after a full garbage collection. */
  async readHeap (pid: number): Promise<HeapReading> {
    const file = join(this.#directory, `${pid}.json`)
    rmSync(file, { force: true })
    process.kill(pid, 'SIGUSR2')
    let reading: NodeJS.MemoryUsage | undefined
    await waitUntil(() => {
      try {
        reading = JSON.parse(readFileSync(file, 'utf8')) as NodeJS.MemoryUsage
      } catch {
        reading = undefined
      }
      return reading !== undefined
    }, HEAP_READ_TIMEOUT_MS, `the heap of process ${pid}`)
    const { heapUsed = 0, external = 0, rss = 0 } = reading ?? {}
    return { heapUsedMb: heapUsed / BYTES_PER_MB, externalMb: external / BYTES_PER_MB, residentMb: rss / BYTES_PER_MB }
  }

  /** Removes the directory of the readings. */
  remove (): void {
    rmSync(this.#directory, { recursive: true, force: true })
  }
}
