/** Kinds of messages about jobs between instances. */
export const JOB_MESSAGES = {
  /** Notification to the owner: a job was stored. */
  announceJob: 'announceJob',
  /** Notification to the owner: a cancellation was stored. */
  announceCancel: 'announceCancel',
  /** Notification from the owner: how much work waits and how fast it is finished. */
  reportLoad: 'job.load',
  /** Notification from the owner: how much it holds for all accepted jobs. */
  reportHeldWork: 'job.heldWork',
  /** Request to the owner: room for a large job that is about to be stored. */
  reserveHeldWork: 'job.reserveHeldWork',
  /** Request to the owner: the state of a job, and on request its account. */
  readJob: 'readJob',
  /** Request to the owner: the number of jobs of a queue that have not started. */
  countWaiting: 'countWaiting',
  /** Request from the owner: call the policy service. */
  askAdvice: 'askAdvice',
  /** Request from the owner: send an order to a target. */
  sendOrder: 'sendOrder',
  /** Request to any instance: store a job for an instance that the store refuses. */
  relayJob: 'relayJob',
  /** Request to any instance: store a cancellation for an instance that the store refuses. */
  relayCancel: 'relayCancel',
  /**
   * Request to any instance: store a cancellation if the job is visible to the account, or to anonymous callers. It differs from
   * `relayCancel` so that a build that doesn't check the account stores nothing.
   */
  relayAccountCancel: 'relayAccountCancel',
  /** Request to any instance: whether the store answers it quickly. */
  checkStore: 'checkStore',
  /** Notification to any instance: revoke the lease of an owner that has retired and can't reach the store. */
  endOwnership: 'endOwnership'
} as const
