/** Names of the metrics of the HTTP API; docs/request-path-operations.md describes them. */
export const API_METRICS = { requests: 'api.requests', duration: 'api.duration', pending: 'api.pending' } as const
