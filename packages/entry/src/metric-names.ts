/** Names of the metrics of the HTTP API, documented in docs/request-path-operations.md. */
export const API_METRICS = { requests: 'api.requests', duration: 'api.duration', pending: 'api.pending' } as const
