import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { z } from 'zod'
import type { ListedTarget } from './target-list.js'

/** The valid entries of a list, and findings about the invalid ones. */
export interface TargetListing {
  readonly targets: readonly ListedTarget[]
  readonly findings: readonly Finding[]
}

const MESSAGES = {
  count: 'not a whole number of 0 or more',
  positive: 'not a whole number of 1 or more',
  address: 'not of the form IP:PORT',
  oneAddress: 'must hold exactly one address, because the labels name one target',
  notAList: 'the instance list is not a JSON array',
  duplicate: (what: string, value: string, first: number) => `${what} ${value} is already used by instances[${first}]`
} as const

const count = z.string().regex(/^\d{1,9}$/, MESSAGES.count).transform(Number)
const positiveCount = z.string().regex(/^0*[1-9]\d{0,8}$/, MESSAGES.positive).transform(Number)
const address = z.string().refine(isAddress, MESSAGES.address)

const commonLabels = {
  id: z.string().min(1).max(200),
  state: z.enum(['live', 'leaving']),
  failure_domain: z.string().min(1).max(200),
  rack: z.string().default('')
}

// An executor must have slots and connections, a worker cores and memory. The other numbers default to 0.
const executorLabels = z.object({
  ...commonLabels,
  kind: z.literal('executor'),
  cores: count.default(0),
  memory_mb: count.default(0),
  accelerators: count.default(0),
  slots: positiveCount,
  connections: positiveCount
}).catchall(z.string())

const workerLabels = z.object({
  ...commonLabels,
  kind: z.literal('worker'),
  cores: positiveCount,
  memory_mb: positiveCount,
  accelerators: count.default(0),
  slots: count.default(0),
  connections: count.default(0)
}).catchall(z.string())

const entrySchema = z.object({
  targets: z.array(address).length(1, MESSAGES.oneAddress),
  labels: z.discriminatedUnion('kind', [executorLabels, workerLabels])
})

/** Parses a list. Invalid entries are omitted and reported as findings; only a document that is not an array fails as a whole. */
export function parseTargetList (document: unknown): Result<TargetListing, readonly Finding[]> {
  if (!Array.isArray(document)) return Err([{ code: 'instanceListForm', place: 'instances', message: MESSAGES.notAList }])
  const targets: ListedTarget[] = []
  const findings: Finding[] = []
  const indexByIdOrAddress = new Map<string, number>()
  document.forEach((entry: unknown, index) => {
    const parsed = entrySchema.safeParse(entry)
    if (!parsed.success) {
      findings.push(...parsed.error.issues.map((issue) => ({
        code: 'instanceInvalid', place: formatPlace(index, issue.path), message: issue.message
      })))
      return
    }
    const target = toListedTarget(parsed.data)
    const duplicates = findDuplicates(target, index, indexByIdOrAddress)
    findings.push(...duplicates)
    if (duplicates.length > 0) return
    indexByIdOrAddress.set(`id ${target.id}`, index).set(`address ${target.address}`, index)
    targets.push(target)
  })
  return Ok({ targets, findings })
}

// With two entries for one target, its capacity would be allocated twice.
function findDuplicates (target: ListedTarget, index: number, indexByIdOrAddress: ReadonlyMap<string, number>): Finding[] {
  return ([['id', target.id, 'labels.id'], ['address', target.address, 'targets[0]']] as const).flatMap(([what, value, path]) => {
    const firstIndex = indexByIdOrAddress.get(`${what} ${value}`)
    if (firstIndex === undefined) return []
    return [{ code: 'instanceDuplicate', place: `instances[${index}].${path}`, message: MESSAGES.duplicate(what, value, firstIndex) }]
  })
}

function toListedTarget ({ targets, labels }: z.output<typeof entrySchema>): ListedTarget {
  const { id, kind, state, failure_domain: failureDomain, rack, ...sizes } = labels
  const { cores, memory_mb: memoryMb, accelerators, slots, connections, ...otherLabels } = sizes
  return {
    id,
    kind,
    address: targets[0] ?? '',
    state,
    failureDomain,
    rack,
    cores,
    memoryMb,
    accelerators,
    slots,
    connections,
    labels: otherLabels as Readonly<Record<string, string>>
  }
}

function isAddress (text: string): boolean {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):(\d{1,5})$/.exec(text)
  const port = Number(match?.[2])
  return match !== null && port >= 1 && port <= 65_535 && URL.canParse(`http://${text}`)
}

function formatPlace (index: number, path: readonly PropertyKey[]): string {
  const steps = path.map((step) => typeof step === 'number' ? `[${step}]` : `.${String(step)}`)
  return `instances[${index}]${steps.join('')}`
}
