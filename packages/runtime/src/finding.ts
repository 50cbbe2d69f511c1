/** A problem in some input, with its location. Findings are collected and reported together. */
export interface Finding {
  readonly code: string
  /** Location of the problem, such as `routes.csv:3:5`, `--lease-ttl-ms` or `body.payload`. */
  readonly place: string
  readonly message: string
}

/** Formats findings, one per line, as `place: message (code)`. */
export function formatFindings (findings: readonly Finding[]): string {
  return findings.map((finding) => `${finding.place}: ${finding.message} (${finding.code})`).join('\n')
}
