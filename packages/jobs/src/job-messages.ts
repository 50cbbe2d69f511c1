/** Kinds of messages between the instances about jobs. */
export const JOB_MESSAGES = {
  /** Notice to the owner: a job was stored. */
  announceJob: 'announceJob',
  /** Notice to the owner: a cancellation was stored. */
  announceCancel: 'announceCancel',
  /** Request to the owner: the state of a job. */
  readJob: 'readJob',
  /** Request to the owner: how many jobs of a queue have not begun. */
  countWaiting: 'countWaiting',
  /** Request from the owner: ask the policy service. */
  askAdvice: 'askAdvice',
  /** Request from the owner: send an order to a target. */
  sendOrder: 'sendOrder',
  /** Request to any instance: store a job, for an instance that the store refuses. */
  relayJob: 'relayJob',
  /** Request to any instance: store a cancellation. */
  relayCancel: 'relayCancel',
  /** Request to any instance: tell whether the store answers. */
  checkStore: 'checkStore',
  /** Notice to any instance: the owner has given up and can't end its lease itself. */
  endOwnership: 'endOwnership'
} as const
