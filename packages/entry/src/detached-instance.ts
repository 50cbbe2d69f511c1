import { toRequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { InstanceComponents } from './instance-components.js'

const NOT_CONNECTED_REASON = 'this instance is not connected to a cluster'

/** Returns the components of an instance that isn't connected to a cluster: it has no tables and rejects every request with a reason. */
export function createDetachedInstance (): InstanceComponents {
  return {
    gateway: {
      submit: async () => ({ type: 'outcome', outcome: { requestId: toRequestId('00-00'), outcome: 'notRun', reason: NOT_CONNECTED_REASON } }),
      lookup: async () => ({ type: 'unavailable', reason: NOT_CONNECTED_REASON }),
      cancel: async () => ({ type: 'unavailable', reason: NOT_CONNECTED_REASON }),
      explainWait: async () => undefined,
      countPending: () => 0
    },
    tables: { readCurrent: () => undefined, subscribe: () => {} },
    tableEditor: { applyTables: async () => ({ type: 'unknown', reason: NOT_CONNECTED_REASON }) },
    status: {
      readStatus: () => ({ incarnation: '', members: [], units: [], loads: [], store: { isAvailable: false, lastAnswerAgeMs: null } })
    },
    drainer: { handOver: async () => {}, close: async () => {} },
    start: async () => {}
  }
}
