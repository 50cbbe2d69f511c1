import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { StateChart, type StateChartDefinition } from '@hibiscusledge/runtime/state-chart.js'
import definition from '../charts/instance.json' with { type: 'json' }
import type { InstanceEvent, InstanceState } from './instance-state.js'
import { LOG_EVENTS } from './log-events.js'

/** State machine of this instance. An event without a transition from the current state is ignored. */
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

  /** Ends the grace period in which a draining instance still accepts new requests. */
  refuseRequests (): void {
    this.#isRefusing = true
  }

  /** Whether new requests are refused because the instance is stopping. */
  isRefusing (): boolean {
    return this.#isRefusing || this.#state === 'stopped'
  }
}
