import { toRequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { InstanceParts } from './instance-parts.js'

const REASON = 'this instance is not connected to a cluster'

/** An instance without a cluster behind it: it has no tables, runs nothing and says so. */
export function createDetachedInstance (): InstanceParts {
  return {
    gateway: {
      submit: async () => ({ type: 'outcome', outcome: { requestId: toRequestId('00-00'), outcome: 'notRun', reason: REASON } }),
      lookup: async () => ({ type: 'unavailable', reason: REASON }),
      cancel: async () => ({ type: 'unavailable', reason: REASON }),
      explainWait: async () => undefined,
      countPending: () => 0
    },
    tables: { readCurrent: () => undefined, subscribe: () => {} },
    tableEditor: { applyTables: async () => ({ type: 'unknown', reason: REASON }) },
    status: {
      readStatus: () => ({ incarnation: '', members: [], units: [], loads: [], store: { isAvailable: false, lastAnswerAgeMs: null } })
    },
    drainable: { handOver: async () => {}, close: async () => {} },
    start: async () => {}
  }
}
