/** Kinds of messages between instances. */
export const PEER_MESSAGE_KINDS = {
  hello: 'hello',
  heartbeat: 'heartbeat',
  promise: 'promise',
  deny: 'deny',
  submit: 'submit',
  outcome: 'outcome',
  lookup: 'lookup',
  cancel: 'cancel',
  enqueue: 'enqueue',
  recordIntent: 'recordIntent',
  attemptResult: 'attemptResult',
  withdraw: 'withdraw',
  handOver: 'handOver',
  fetchTables: 'fetchTables'
} as const
export type PeerMessageKind = typeof PEER_MESSAGE_KINDS[keyof typeof PEER_MESSAGE_KINDS]
