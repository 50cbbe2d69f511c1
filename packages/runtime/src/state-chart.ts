import { createMachine, getNextSnapshot, type AnyStateMachine } from 'xstate'

/** The part of an xstate chart's JSON form that the project's chart files use. */
export interface StateChartDefinition {
  readonly id: string
  readonly initial: string
  readonly states: Readonly<Record<string, {
    readonly type?: 'final'
    readonly on?: Readonly<Record<string, string>>
  }>>
}

/** Interprets a flat state chart that was read from a JSON file. */
export class StateChart<State extends string, Event extends string> {
  readonly #machine: AnyStateMachine
  readonly #transitions = new Map<string, State>()
  readonly initial: State

  constructor (definition: StateChartDefinition) {
    this.#machine = createMachine(definition as Parameters<typeof createMachine>[0])
    this.initial = definition.initial as State
    this.#buildTransitionTable(definition)
  }

  /** The state after `event`, or undefined when the chart has no such transition. */
  findNextState (state: State, event: Event): State | undefined {
    return this.#transitions.get(`${state}\n${event}`)
  }

  // The interpreter runs once for each pair at construction: a transition on the request path is then one map lookup.
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
