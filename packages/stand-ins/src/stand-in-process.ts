import type { CAC } from 'cac'
import type { z } from 'zod'

/** Parses and checks the flags; prints all findings together and exits with 2 when one is wrong. */
export function parseFlags<Schema extends z.ZodType> (command: CAC, schema: Schema): z.output<Schema> {
  const { options } = command.parse()
  if (options.help === true) process.exit(0)
  const parsed = schema.safeParse(options)
  if (parsed.success) return parsed.data
  for (const issue of parsed.error.issues) console.error(`--${issue.path.join('.')}: ${issue.message}`)
  process.exit(2)
}

/** Prints one JSON line when the stand-in serves, and stops it at SIGTERM or SIGINT. */
export function runUntilSignal (addresses: object, stop: () => Promise<void>): void {
  console.log(JSON.stringify({ event: 'standInReady', pid: process.pid, ...addresses }))
  const end = (): void => {
    stop().then(() => process.exit(0), () => process.exit(1))
  }
  process.once('SIGTERM', end)
  process.once('SIGINT', end)
}
