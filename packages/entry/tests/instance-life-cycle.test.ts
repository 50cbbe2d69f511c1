import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import test from 'ava'
import { InstanceLifeCycle } from '../src/instance-life-cycle.js'
import { INSTANCE_EVENTS, INSTANCE_STATES, type InstanceEvent, type InstanceState } from '../src/instance-state.js'

/** Events that lead from the initial state to each state. */
const EVENTS_TO_STATE: Readonly<Record<InstanceState, readonly InstanceEvent[]>> = {
  starting: [], joining: ['started'], serving: ['started', 'joined'], draining: ['drain'], stopped: ['stop']
}

/** All transitions; any other event leaves the state unchanged. */
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
    test(`${state} on event ${event} ${next === undefined ? 'does not change' : `changes to ${next}`}`, (t) => {
      const lifeCycle = new InstanceLifeCycle(new SilentEventLogger())
      for (const earlierEvent of EVENTS_TO_STATE[state]) lifeCycle.applyEvent(earlierEvent)
      t.is(lifeCycle.readState(), state)
      t.is(lifeCycle.applyEvent(event), next !== undefined)
      t.is(lifeCycle.readState(), next ?? state)
    })
  }
}
