import { createMachine, getNextSnapshot, type AnyStateMachine } from 'xstate'

/** The subset of the JSON form of an XState machine that the chart files use. */
export interface StateChartDefinition {
  readonly id: string
  readonly initial: string
  readonly states: Readonly<Record<string, {
    readonly type?: 'final'
    readonly on?: Readonly<Record<string, string>>
  }>>
}

/** Flat state chart defined by a JSON file. */
export class StateChart<State extends string, Event extends string> {
  readonly #machine: AnyStateMachine
  readonly #transitions = new Map<string, State>()
  readonly initial: State

  constructor (definition: StateChartDefinition) {
    this.#machine = createMachine(definition as Parameters<typeof createMachine>[0])
    this.initial = definition.initial as State
    this.#buildTransitionTable(definition)
  }

  /** Returns the state after `event`, or undefined when the chart has no such transition. */
  findNextState (state: State, event: Event): State | undefined {
    return this.#transitions.get(`${state}\n${event}`)
  }

  // XState runs once for each state and event at construction, so that a transition on the request path is a single map lookup.
  #buildTransitionTable (definition: StateChartDefinition): void {
    for (const [state, node] of Object.entries(definition.states)) {
      for (const event of Object.keys(node.on ?? {})) {
        const snapshot = this.#machine.resolveState({ value: state, context: {} })
        const next = getNextSnapshot(this.#machine, snapshot, { type: event })
        this.#transitions.set(`${state}\n${event}`, next.value as State)
      }
    }
  }
}
