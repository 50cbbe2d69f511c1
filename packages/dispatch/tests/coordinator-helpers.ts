import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import { toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { RequestStatusReply, SubmitMessage, SubmitReply } from '../src/dispatch-messages.js'
import type { RequestFacts } from '../src/ledger-entry.js'
import type { RunReport } from '../src/target-client.js'
import { FakeCluster } from './fake-cluster.js'
import type { FakeMessage } from './fake-network.js'
import { buildSubmit, PARTITION, SHARD } from './fixtures.js'

const HOME = toInstanceId('home')

/** Instances: `home` and `next` can be coordinators, `shard` and `other` shard owners, and `entry` sends the callers' messages. */
export async function createCluster (): Promise<FakeCluster> {
  const cluster = new FakeCluster(['home', 'next', 'shard', 'other', 'entry'])
  await cluster.setOwner(PARTITION, 'home')
  await cluster.setOwner(SHARD, 'shard')
  await cluster.advance(100)
  return cluster
}

async function sendTo<Reply> (
  cluster: FakeCluster, kind: string, body: unknown, waitMs: number, to = HOME
): Promise<Reply | undefined> {
  let found: Reply | undefined
  void cluster.find('entry').context.network.sendRequest(to, kind, body, 10_000).then((reply) => {
    if (reply.ok) found = reply.val as Reply
  })
  await cluster.advance(waitMs)
  return found
}

export function submit (
  cluster: FakeCluster, facts: RequestFacts, message: Partial<SubmitMessage> = {}, to = HOME
): Promise<SubmitReply | undefined> {
  return sendTo(cluster, PEER_MESSAGE_KINDS.submit, buildSubmit(facts, message), 200, to)
}

export async function readOutcome (cluster: FakeCluster, facts: RequestFacts, to = HOME): Promise<string> {
  const reply = await sendTo<RequestStatusReply>(cluster, PEER_MESSAGE_KINDS.lookup, { requestId: facts.requestId }, 10, to)
  return reply?.type === 'outcome' ? reply.outcome.outcome : reply?.type ?? 'no reply'
}

export function cancel (cluster: FakeCluster, facts: RequestFacts, waitMs = 100, to = HOME): Promise<RequestStatusReply | undefined> {
  return sendTo(cluster, PEER_MESSAGE_KINDS.cancel, { requestId: facts.requestId }, waitMs, to)
}

export function dropNextMessage (cluster: FakeCluster, matches: (message: FakeMessage) => boolean): void {
  let isLost = false
  cluster.hub.decideDelivery = (message) => {
    if (isLost || !matches(message)) return [0]
    isLost = true
    return []
  }
}

export const DONE: RunReport = { type: 'succeeded', result: 'done' }
export const FAILED: RunReport = { type: 'failed', message: 'failed' }

export async function endRequest (cluster: FakeCluster, facts: RequestFacts, report: RunReport = DONE): Promise<void> {
  cluster.targets.end(facts.requestId, report)
  await cluster.advance(100)
}
