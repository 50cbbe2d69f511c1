import test from 'ava'
import { toRequestId } from '@hibiscusledge/runtime/identifiers.js'
import requestChart from '../charts/request.json' with { type: 'json' }
import { CoordinatedRequest, type RequestEvent, type RequestState } from '../src/coordinated-request.js'

/** Events that lead from the initial state to each state. */
const PATHS: Readonly<Record<RequestState, readonly RequestEvent[]>> = {
  unassigned: [],
  assigned: ['assign'],
  recording: ['assign', 'recordIntent'],
  granted: ['assign', 'recordIntent', 'grant'],
  ended: ['end']
}
const EVENTS: readonly RequestEvent[] = ['assign', 'unassign', 'recordIntent', 'grant', 'end', 'restart']

function createRequest (state: RequestState): CoordinatedRequest {
  const request = new CoordinatedRequest({ requestId: toRequestId('00-a'), fingerprint: '', kind: 'k', customer: 'c', team: '', payload: 1 }, 0)
  for (const event of PATHS[state]) request.applyEvent(event)
  return request
}

for (const [state, node] of Object.entries(requestChart.states) as Array<[RequestState, { on: Record<string, string> }]>) {
  for (const event of EVENTS) {
    const next = node.on[event]
    test(`${state} + ${event} leads to ${next ?? 'no transition'}`, (t) => {
      const request = createRequest(state)
      t.is(request.state, state)
      t.is(request.applyEvent(event), next !== undefined)
      t.is(request.state, (next ?? state) as RequestState)
    })
  }
}
