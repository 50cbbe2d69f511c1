import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { StateChart } from '@hibiscusledge/runtime/state-chart.js'
import ownershipChart from '../charts/ownership.json' with { type: 'json' }
import type { UnitOwner, UnitRole } from './ownership-directory.js'

export type UnitState = keyof typeof ownershipChart.states
export type UnitEvent = 'ACQUIRE' | 'ASSIGN' | 'FAIL' | 'STARTED' | 'HAND_OVER' | 'TRANSFER' | 'ABORT' | 'LOSE'

export const OWNERSHIP_CHART = new StateChart<UnitState, UnitEvent>(ownershipChart)
const HELD_STATES: readonly UnitState[] = ['starting', 'owned', 'handingOver', 'transferring']
const AUTHORIZED_STATES: readonly UnitState[] = ['owned', 'handingOver']

/** State of one unit on this instance. Transitions follow the chart `charts/ownership.json`. */
export class UnitLifecycle {
  readonly unit: UnitId
  #state: UnitState = OWNERSHIP_CHART.initial
  #owner: UnitOwner | undefined
  #role: UnitRole | undefined

  constructor (unit: UnitId) {
    this.unit = unit
  }

  readState (): UnitState {
    return this.#state
  }

  /** Returns the owner record under which this instance holds the unit; undefined once it is dropped. */
  readOwner (): UnitOwner | undefined {
    return this.#owner
  }

  isHeld (): boolean {
    return HELD_STATES.includes(this.#state)
  }

  /** Whether this instance may act for the unit while it has authority. It may not once the write of a hand-over has started. */
  isAuthorized (): boolean {
    return AUTHORIZED_STATES.includes(this.#state)
  }

  /** Applies an event. Returns false and changes nothing when the chart has no such transition. */
  transition (event: UnitEvent): boolean {
    const next = OWNERSHIP_CHART.findNextState(this.#state, event)
    if (next === undefined) return false
    this.#state = next
    return true
  }

  /** Assigns the unit under an owner record that names this instance. */
  assign (owner: UnitOwner, role: UnitRole | undefined): boolean {
    if (!this.transition('ASSIGN')) return false
    this.#owner = owner
    this.#role = role
    return true
  }

  /** Drops the unit and stops it in its role. Returns false, without a second stop, when it is not held. */
  drop (): boolean {
    if (!this.transition('LOSE')) return false
    this.#role?.stopUnit(this.unit)
    this.#owner = undefined
    return true
  }

  readRole (): UnitRole | undefined {
    return this.#role
  }

  /** Attaches a role that was registered after the unit was assigned. */
  attachRole (role: UnitRole): void {
    this.#role = role
  }
}
