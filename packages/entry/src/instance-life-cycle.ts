import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { StateChart, type StateChartDefinition } from '@hibiscusledge/runtime/state-chart.js'
import definition from '../charts/instance.json' with { type: 'json' }
import type { InstanceEvent, InstanceState } from './instance-state.js'
import { LOG_EVENTS } from './log-events.js'

/** The state of this instance. Events that its chart doesn't have in the current state change nothing. */
export class InstanceLifeCycle {
  readonly #chart = new StateChart<InstanceState, InstanceEvent>(definition as StateChartDefinition)
  readonly #logger: EventLogger
  #state: InstanceState = this.#chart.initial
  #isRefusing = false

  constructor (logger: EventLogger) {
    this.#logger = logger
  }

  readState (): InstanceState {
    return this.#state
  }

  /** Returns whether the state changed. */
  applyEvent (event: InstanceEvent): boolean {
    const next = this.#chart.findNextState(this.#state, event)
    if (next === undefined) return false
    this.#logger.logInfo(LOG_EVENTS.stateChanged, { from: this.#state, to: next })
    this.#state = next
    return true
  }

  /** Ends the time of grace in which a draining instance still takes new requests. */
  refuseRequests (): void {
    this.#isRefusing = true
  }

  /** Whether new requests are refused because the instance is about to stop. */
  isRefusing (): boolean {
    return this.#isRefusing || this.#state === 'stopped'
  }
}
