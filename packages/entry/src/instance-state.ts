/** States of `charts/instance.json`. */
export const INSTANCE_STATES = {
  starting: 'starting', joining: 'joining', serving: 'serving', draining: 'draining', stopped: 'stopped'
} as const
export type InstanceState = typeof INSTANCE_STATES[keyof typeof INSTANCE_STATES]

/** Events of `charts/instance.json`. */
export const INSTANCE_EVENTS = { started: 'started', joined: 'joined', drain: 'drain', stop: 'stop' } as const
export type InstanceEvent = typeof INSTANCE_EVENTS[keyof typeof INSTANCE_EVENTS]
