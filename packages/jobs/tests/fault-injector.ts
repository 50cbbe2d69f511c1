import type { FakeInstance, FakeJobCell } from './fake-job-cell.js'
import type { FaultPlan } from './fault-scenario.js'
import type { SimulatedFleet } from './simulated-fleet.js'
import { formatPair, type SimulatedNetwork } from './simulated-network.js'
import type { SuspendableClock } from './suspendable-instance.js'

/** Time after which another instance takes the place of one that has ended. */
const REPLACEMENT_DELAY_MS = 1_000
const SLOW_STORE_DELAY_MS = 200

/** Injects the faults of a scenario. */
export class FaultInjector {
  readonly #cell: FakeJobCell
  readonly #fleet: SimulatedFleet
  readonly #network: SimulatedNetwork
  readonly #clocks: ReadonlyMap<string, SuspendableClock>
  readonly #addInstance: () => void

  constructor (
    cell: FakeJobCell, fleet: SimulatedFleet, network: SimulatedNetwork, clocks: ReadonlyMap<string, SuspendableClock>,
    addInstance: () => void
  ) {
    this.#cell = cell
    this.#fleet = fleet
    this.#network = network
    this.#clocks = clocks
    this.#addInstance = addInstance
  }

  inject (plan: FaultPlan): void {
    this.#fleet.history.log(`fault ${JSON.stringify(plan)}`)
    const owner = this.#cell.findOwner() ?? this.#cell.instances[0]
    switch (plan.kind) {
      case 'restart': return this.#fleet.restart(`t${plan.target}`, plan)
      case 'unlist': return this.#fleet.removeFromListing(`t${plan.target}`, plan.durationMs)
      case 'cutTarget': return this.#partitionPairs(this.#cell.instances, [`t${plan.target}`], plan.durationMs)
      case 'slowStore': return this.#throttleStore(plan.durationMs)
      default: if (owner !== undefined) this.#injectAtOwner(owner, plan)
    }
  }

  #injectAtOwner (owner: FakeInstance, plan: FaultPlan): void {
    const clock = this.#clocks.get(owner.name)
    switch (plan.kind) {
      case 'cutOwner': return this.#partitionPairs([owner], this.#fleet.listIds(), plan.durationMs)
      case 'killOwner':
      case 'powerOffOwner': return this.#endInstance(owner, plan.kind === 'powerOffOwner')
      case 'stepWallClock': return clock?.advanceWall(plan.stepMs)
      case 'loseStoreReplies': {
        owner.store.faults.loseNextReplies = plan.count
        return
      }
      case 'suspendOwner': {
        clock?.suspend(plan.durationMs)
        this.#cell.mesh.unreachable.add(owner.name)
        return this.#runLater(plan.durationMs, () => this.#cell.mesh.unreachable.delete(owner.name))
      }
      case 'cutOwnerFromStore': {
        owner.store.setDown(true)
        return this.#runLater(plan.durationMs, () => { if (this.#cell.instances.includes(owner)) owner.store.setDown(false) })
      }
    }
  }

  #endInstance (instance: FakeInstance, isMachineOff: boolean): void {
    this.#network.silenced.add(instance.name)
    if (isMachineOff) instance.powerOff()
    else instance.kill()
    this.#runLater(REPLACEMENT_DELAY_MS, this.#addInstance)
  }

  #throttleStore (durationMs: number): void {
    const instances = [...this.#cell.instances]
    for (const { store } of instances) store.faults.delayMs = SLOW_STORE_DELAY_MS
    this.#runLater(durationMs, () => { for (const { store } of instances) store.faults.delayMs = 0 })
  }

  #partitionPairs (instances: readonly FakeInstance[], targetIds: readonly string[], durationMs: number): void {
    const pairs = instances.flatMap(({ name }) => targetIds.map((id) => formatPair(name, id)))
    for (const pair of pairs) this.#network.cuts.add(pair)
    this.#runLater(durationMs, () => { for (const pair of pairs) this.#network.cuts.delete(pair) })
  }

  #runLater (delayMs: number, callback: () => void): void {
    this.#cell.clock.startTimer(delayMs, callback)
  }
}
