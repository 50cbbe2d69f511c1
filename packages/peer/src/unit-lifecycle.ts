import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { StateChart } from '@hibiscusledge/runtime/state-chart.js'
import ownershipChart from '../charts/ownership.json' with { type: 'json' }
import type { UnitOwner, UnitRole } from './ownership-directory.js'

export type UnitState = keyof typeof ownershipChart.states
export type UnitEvent = 'ACQUIRE' | 'ASSIGN' | 'FAIL' | 'STARTED' | 'HAND_OVER' | 'TRANSFER' | 'ABORT' | 'LOSE'

export const OWNERSHIP_CHART = new StateChart<UnitState, UnitEvent>(ownershipChart)
const HELD_STATES: readonly UnitState[] = ['starting', 'owned', 'handingOver', 'transferring']
const AUTHORIZED_STATES: readonly UnitState[] = ['owned', 'handingOver']

/** The life cycle of one unit on this instance. */
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

  /** The record under which this instance holds or held the unit. */
  readOwner (): UnitOwner | undefined {
    return this.#owner
  }

  isHeld (): boolean {
    return HELD_STATES.includes(this.#state)
  }

  /** Whether the unit may be acted for, given authority. From the hand-over's write on it may not. */
  isAuthorized (): boolean {
    return AUTHORIZED_STATES.includes(this.#state)
  }

  /** Applies an event. Returns false, and changes nothing, when the chart has no such transition. */
  transition (event: UnitEvent): boolean {
    const next = OWNERSHIP_CHART.findNextState(this.#state, event)
    if (next === undefined) return false
    this.#state = next
    return true
  }

  /** Starts serving under a record that names this instance. */
  assign (owner: UnitOwner, role: UnitRole | undefined): boolean {
    if (!this.transition('ASSIGN')) return false
    this.#owner = owner
    this.#role = role
    return true
  }

  /** Returns the unit to `starting` after a hand-over that did not happen. */
  abort (): boolean {
    const wasHeld = this.isHeld()
    if (!this.transition('ABORT')) return false
    if (wasHeld) this.#role?.stopUnit(this.unit)
    return true
  }

  /** Drops the unit. The role is told once. */
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
