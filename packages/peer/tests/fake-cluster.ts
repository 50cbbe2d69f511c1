import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { toIncarnation, toInstanceId, type UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { PeerNode } from '../src/peer-node.js'
import type { PeerTimings } from '../src/peer-timings.js'
import { FakeNetwork, FakeSwitch } from './fake-network.js'
import { FakeStore, type FakeStoreClient } from './fake-store.js'
import { ProcessGate } from './process-gate.js'

const STEP_MS = 20

export interface FakeProcess {
  readonly name: string
  readonly node: PeerNode
  readonly gate: ProcessGate
  readonly store: FakeStoreClient
}

/** Several instances in one test, with a checker that no unit ever has two owners with authority. */
export class FakeCluster {
  readonly clock = new FakeClock()
  readonly store: FakeStore
  readonly networkSwitch = new FakeSwitch(this.clock)
  readonly processes: FakeProcess[] = []
  readonly violations: string[] = []
  readonly #timings: Partial<PeerTimings>
  readonly #random: SeededRandomSource
  #startCount = 0

  constructor (seed: number, timings: Partial<PeerTimings> = {}) {
    this.#random = new SeededRandomSource(seed)
    this.#timings = timings
    this.store = new FakeStore(this.clock, this.#random)
  }

  /** Starts a process. The same name on the same address stands for a restart on the same machine. */
  start (name: string, address = `10.0.0.${name}:7000`, timings: Partial<PeerTimings> = this.#timings): FakeProcess {
    const gate = new ProcessGate(this.clock)
    const store = this.store.connect(gate)
    const self = { instance: toInstanceId(name), incarnation: toIncarnation(`run${++this.#startCount}`) }
    const node = new PeerNode({
      ...{ self: self.instance, incarnation: self.incarnation, listenHost: '127.0.0.1', listenPort: 0, advertisedAddress: address },
      ...{ failureDomain: 'd1', seeds: [] },
      ...{ store, clock: gate, random: this.#random, logger: new SilentEventLogger(), metrics: new SilentMetricSink() },
      timings,
      network: new FakeNetwork(this.networkSwitch, self, gate)
    })
    const process = { name, node, gate, store }
    this.processes.push(process)
    void node.start()
    return process
  }

  listRunning (): FakeProcess[] {
    return this.processes.filter(({ gate }) => gate.isRunning())
  }

  async run (durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      this.recordViolations()
      await this.clock.advanceBy(STEP_MS)
    }
    this.recordViolations()
  }

  /** Runs until `condition` holds; returns the milliseconds passed, or undefined when it does not hold within the bound. */
  async runUntil (condition: () => boolean, boundMs: number): Promise<number | undefined> {
    for (let passedMs = 0; passedMs <= boundMs; passedMs += STEP_MS) {
      if (condition()) return passedMs
      await this.run(STEP_MS)
    }
    return undefined
  }

  /** Records every unit for which two running processes have authority now. */
  recordViolations (): void {
    const holders = new Map<UnitId, string>()
    for (const { name, node, gate } of this.listRunning()) {
      for (const unit of node.ownership.listHeld()) {
        if (!gate.isRunning() || !node.ownership.hasAuthority(unit)) continue
        const other = holders.get(unit)
        if (other !== undefined) this.violations.push(`${unit} at ${this.clock.readMonotonicMs()} ms: ${other} and ${name}`)
        holders.set(unit, name)
      }
    }
  }

  /** Whether every unit has exactly one owner with authority, and these are all among `names`. */
  isServedBy (names: readonly string[]): boolean {
    const units = this.listRunning()[0]?.node.ownership.listUnits() ?? []
    return units.length > 0 && units.every((unit) => {
      const holders = this.listRunning().filter(({ node }) => node.ownership.hasAuthority(unit))
      return holders.length === 1 && names.includes(holders[0]?.name ?? '')
    })
  }
}
