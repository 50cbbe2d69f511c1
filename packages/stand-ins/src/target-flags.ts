import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import type { CAC } from 'cac'
import { z } from 'zod'
import type { TargetStandInOptions } from './target-stand-in.js'
import { DEFAULT_SERVICE_TIME, type ServiceTime } from './work-profile.js'

const repeatableText = z.union([z.string(), z.array(z.string())]).transform((value) => [value].flat())
const namedValues = repeatableText.transform((values, context) => values.map((value) => {
  const [name = '', text] = value.split('=')
  if (text === undefined) context.addIssue({ code: 'custom', message: `${value} is not of the form NAME=VALUE` })
  return [name, text ?? ''] as const
}))
const serviceTimesByKind = namedValues.transform((entries) => new Map(entries.map(([kind, text]): [string, ServiceTime] => {
  const [medianMs = DEFAULT_SERVICE_TIME.medianMs, sigma = DEFAULT_SERVICE_TIME.sigma] = text.split(':').map(Number)
  return [kind, { medianMs, sigma }]
})))

/** Flags of both the executor stand-in and the worker stand-in. */
export const targetFlags = z.object({
  count: z.coerce.number().int().min(1),
  portBase: z.coerce.number().int().min(0).max(65_535),
  adminPort: z.coerce.number().int().min(0).max(65_535),
  host: z.string(),
  idPrefix: z.string(),
  failureDomains: z.string().transform((text) => text.split(',')),
  rackSize: z.coerce.number().int().min(1),
  labels: namedValues,
  serviceMs: serviceTimesByKind,
  seed: z.coerce.number().int(),
  register: z.string().optional()
})

export const usageFactorsByKind = namedValues.transform((entries) => new Map(entries.map(([kind, text]) => [kind, Number(text)])))

export function addTargetFlags (command: CAC, kind: 'executor' | 'worker'): void {
  command.option('--count <n>', 'Number of targets in this process', { default: 33 })
  command.option('--port-base <port>', 'Port of the first target, the others follow; 0 takes free ones', { default: 0 })
  command.option('--admin-port <port>', 'Port of the log and of the admin interface', { default: 0 })
  command.option('--host <ip>', 'Address to listen on', { default: '127.0.0.1' })
  command.option('--id-prefix <text>', 'Ids are PREFIX-1, PREFIX-2 …', { default: kind })
  command.option('--failure-domains <names>', 'Comma-separated; targets take them in turn', { default: 'nairobi-a,nairobi-b,nairobi-c' })
  command.option('--rack-size <n>', 'Targets to a rack within a failure domain', { default: 8 })
  command.option('--labels <name=value>', 'Further label of the instance list; repeatable', { default: [] })
  command.option('--service-ms <kind=median:sigma>', 'Log-normal service time of a kind or of `default`; repeatable', { default: [] })
  command.option('--seed <n>', 'Seed of service times and losses', { default: 1 })
  command.option('--register <origin>', 'Admin origin of the store stand-in whose instance list gets the targets')
  command.help()
}

/** Returns the options of each target. Targets are assigned to the failure domains in turn, and fill the racks of a domain one by one. */
export function createTargetOptions (
  flags: z.output<typeof targetFlags>, maxConnections: number, labels: Readonly<Record<string, string>>
): TargetStandInOptions[] {
  const clock = new SystemClock()
  const failureDomains = flags.failureDomains
  return Array.from({ length: flags.count }, (_, index) => {
    const failureDomain = failureDomains[index % failureDomains.length] ?? ''
    const rack = `${failureDomain}-rack-${Math.floor(index / failureDomains.length / flags.rackSize) + 1}`
    return {
      id: `${flags.idPrefix}-${index + 1}`,
      clock,
      random: new SeededRandomSource(flags.seed + index),
      serviceTimes: flags.serviceMs,
      host: flags.host,
      maxConnections,
      labels: { failure_domain: failureDomain, rack, ...labels, ...Object.fromEntries(flags.labels) }
    }
  })
}
