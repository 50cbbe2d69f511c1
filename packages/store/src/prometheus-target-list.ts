import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { Err, type Result } from '@hibiscusledge/runtime/result.js'
import { Agent } from 'undici'
import { fetchText } from './http-request.js'
import type { TargetList, ListedTarget } from './target-list.js'
import { parseTargetList, type TargetListing } from './parse-target-list.js'

/** A list of targets that also reports findings about invalid entries. */
export interface DetailedTargetList extends TargetList {
  fetchListing (): Promise<Result<TargetListing, readonly Finding[]>>
}

export interface PrometheusTargetListOptions {
  /** Such as `http://10.0.0.5:9000/instances`. */
  readonly url: string
  readonly clock: Clock
  readonly timeoutMs?: number
}

const DEFAULT_TIMEOUT_MS = 2_000
// About ten times the size of a list of 4,800 workers.
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024

const MESSAGES = {
  status: (status: number) => `HTTP ${status}`,
  json: (detail: string) => `not JSON: ${detail}`
} as const

/** Fetches the list of targets, in the format of Prometheus HTTP service discovery. The platform calls it its instance list. */
export class PrometheusTargetList implements DetailedTargetList {
  readonly #url: URL
  readonly #clock: Clock
  readonly #timeoutMs: number
  readonly #agent: Agent

  constructor (options: PrometheusTargetListOptions) {
    this.#url = new URL(options.url)
    this.#clock = options.clock
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
    this.#agent = new Agent({ connections: 2, maxResponseSize: MAX_RESPONSE_BYTES, connect: { timeout: this.#timeoutMs } })
  }

  /** Fetches the valid entries. {@link fetchListing} also returns the findings about invalid ones. */
  async fetchTargets (): Promise<Result<readonly ListedTarget[], readonly Finding[]>> {
    return (await this.fetchListing()).map(({ targets }) => targets)
  }

  async fetchListing (): Promise<Result<TargetListing, readonly Finding[]>> {
    const { origin, pathname, search } = this.#url
    const response = await fetchText(this.#agent, this.#clock, { origin, path: pathname + search, method: 'GET', timeoutMs: this.#timeoutMs })
    if (response.err) return Err([{ code: 'instanceListUnreachable', place: this.#url.href, message: response.val.message }])
    if (response.val.status !== 200) {
      return Err([{ code: 'instanceListStatus', place: this.#url.href, message: MESSAGES.status(response.val.status) }])
    }
    let document: unknown
    try {
      document = JSON.parse(response.val.text)
    } catch (error) {
      const message = MESSAGES.json(error instanceof Error ? error.message : String(error))
      return Err([{ code: 'instanceListSyntax', place: 'instances', message }])
    }
    return parseTargetList(document)
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }
}
