import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { toIncarnation, toInstanceId, type UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { PeerNode } from '../src/peer-node.js'
import type { PeerTimings } from '../src/peer-timings.js'
import { FakeNetwork, FakeSwitch } from './fake-network.js'
import { FakeStore, type FakeStoreClient } from './fake-store.js'
import { ProcessControl } from './process-control.js'

const STEP_MS = 20

export interface FakeProcess {
  readonly name: string
  readonly node: PeerNode
  readonly control: ProcessControl
  readonly store: FakeStoreClient
}

/** Cluster of simulated processes that records each unit for which two processes have authority at the same time. */
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

  /** Starts a process of the instance `name`. The same name at the same address simulates a restart on the same machine. */
  start (name: string, address = `10.0.0.${name}:7000`, timings: Partial<PeerTimings> = this.#timings): FakeProcess {
    const control = new ProcessControl(this.clock)
    const store = this.store.connect(control)
    const self = { instance: toInstanceId(name), incarnation: toIncarnation(`run${++this.#startCount}`) }
    const node = new PeerNode({
      ...{ self: self.instance, incarnation: self.incarnation, listenHost: '127.0.0.1', listenPort: 0, advertisedAddress: address },
      ...{ failureDomain: 'd1', seedAddresses: [] },
      ...{ store, clock: control, random: this.#random, logger: new SilentEventLogger(), metrics: new SilentMetricSink() },
      timings,
      network: new FakeNetwork(this.networkSwitch, self, control)
    })
    const process = { name, node, control, store }
    this.processes.push(process)
    void node.start()
    return process
  }

  listRunning (): FakeProcess[] {
    return this.processes.filter(({ control }) => control.isRunning())
  }

  /** Advances the time and checks for violations every {@link STEP_MS}. */
  async run (durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      this.recordViolations()
      await this.clock.advanceBy(STEP_MS)
    }
    this.recordViolations()
  }

  /** Runs until `condition` holds. Returns the milliseconds passed, or undefined if it does not hold within `boundMs`. */
  async runUntil (condition: () => boolean, boundMs: number): Promise<number | undefined> {
    for (let passedMs = 0; passedMs <= boundMs; passedMs += STEP_MS) {
      if (condition()) return passedMs
      await this.run(STEP_MS)
    }
    return undefined
  }

  /** Records a violation for every unit for which two running processes have authority now. */
  recordViolations (): void {
    const holders = new Map<UnitId, string>()
    for (const { name, node, control } of this.listRunning()) {
      for (const unit of node.ownership.listHeld()) {
        if (!control.isRunning() || !node.ownership.hasAuthority(unit)) continue
        const other = holders.get(unit)
        if (other !== undefined) this.violations.push(`${unit} has two owners with authority at ${this.clock.readMonotonicMs()} ms: ${other} and ${name}`)
        holders.set(unit, name)
      }
    }
  }

  /** Whether every unit has exactly one owner with authority, and all these owners are among `names`. */
  isServedBy (names: readonly string[]): boolean {
    const units = this.listRunning()[0]?.node.ownership.listUnits() ?? []
    return units.length > 0 && units.every((unit) => {
      const holders = this.listRunning().filter(({ node }) => node.ownership.hasAuthority(unit))
      return holders.length === 1 && names.includes(holders[0]?.name ?? '')
    })
  }
}
