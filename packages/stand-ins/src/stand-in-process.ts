import type { CAC } from 'cac'
import type { z } from 'zod'

/** Parses and validates the flags. When any is invalid, prints all findings and exits with code 2. */
export function parseFlags<Schema extends z.ZodType> (command: CAC, schema: Schema): z.output<Schema> {
  const { options } = command.parse()
  if (options.help === true) process.exit(0)
  const parsed = schema.safeParse(options)
  if (parsed.success) return parsed.data
  for (const issue of parsed.error.issues) console.error(`--${issue.path.join('.')}: ${issue.message}`)
  process.exit(2)
}

/** Prints one JSON line with the addresses when the stand-in is ready, and stops it on SIGTERM or SIGINT. */
export function runUntilSignal (addresses: object, stop: () => Promise<void>): void {
  console.log(JSON.stringify({ event: 'standInReady', pid: process.pid, ...addresses }))
  const shutDown = (): void => {
    stop().then(() => process.exit(0), () => process.exit(1))
  }
  process.once('SIGTERM', shutDown)
  process.once('SIGINT', shutDown)
}
