import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import test from 'ava'
import { InstanceLifeCycle } from '../src/instance-life-cycle.js'
import { INSTANCE_EVENTS, INSTANCE_STATES, type InstanceEvent, type InstanceState } from '../src/instance-state.js'

/** Events that lead from the start to each state. */
const EVENTS_TO_STATE: Readonly<Record<InstanceState, readonly InstanceEvent[]>> = {
  starting: [], joining: ['started'], serving: ['started', 'joined'], draining: ['drain'], stopped: ['stop']
}

/** Every transition; each other pair of state and event changes nothing. */
const TRANSITIONS: Readonly<Record<InstanceState, Readonly<Partial<Record<InstanceEvent, InstanceState>>>>> = {
  starting: { started: 'joining', drain: 'draining', stop: 'stopped' },
  joining: { joined: 'serving', drain: 'draining', stop: 'stopped' },
  serving: { drain: 'draining', stop: 'stopped' },
  draining: { stop: 'stopped' },
  stopped: {}
}

for (const state of Object.values(INSTANCE_STATES)) {
  for (const event of Object.values(INSTANCE_EVENTS)) {
    const next = TRANSITIONS[state][event]
    test(`${state} with ${event} ${next === undefined ? 'changes nothing' : `becomes ${next}`}`, (t) => {
      const lifeCycle = new InstanceLifeCycle(new SilentEventLogger())
      for (const step of EVENTS_TO_STATE[state]) lifeCycle.applyEvent(step)
      t.is(lifeCycle.readState(), state)
      t.is(lifeCycle.applyEvent(event), next !== undefined)
      t.is(lifeCycle.readState(), next ?? state)
    })
  }
}
