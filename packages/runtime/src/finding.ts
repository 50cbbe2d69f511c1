/** A problem with its place. Findings are collected and reported together, not one at a time. */
export interface Finding {
  readonly code: string
  /** Where the problem is: `routes.csv:3:5`, `--lease-ttl-ms`, `body.payload`. */
  readonly place: string
  readonly message: string
}

/** Formats findings one per line as `place: message (code)`. */
export function formatFindings (findings: readonly Finding[]): string {
  return findings.map((finding) => `${finding.place}: ${finding.message} (${finding.code})`).join('\n')
}
