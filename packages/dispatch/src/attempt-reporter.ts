import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import { computeBackoffMs } from '@hibiscusledge/runtime/backoff.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import type { DispatchContext } from './dispatch-context.js'
import { DISPATCH_EVENTS } from './dispatch-events.js'
import { attemptResultReplySchema, type AttemptResultMessage } from './dispatch-messages.js'
import { sendValidatedRequest } from './validated-messages.js'
import { findPartition } from './request-id.js'

const REPORT_TIMEOUT_MS = 2000
const REPORT_BACKOFF = { initialMs: 50, maximumMs: 2000 }
/** A coordinator that is unreachable for longer learns the end through the next owner of the shard, which polls the targets. */
const REPORT_RETRY_TIMEOUT_MS = 3_600_000

/** Reports the ends of attempts to the coordinators. Repeats each report until the coordinator has recorded it. */
export class AttemptReporter {
  readonly #context: DispatchContext
  #pending = 0

  constructor (context: DispatchContext) {
    this.#context = context
  }

  countPending (): number {
    return this.#pending
  }

  /** Resolves with true once the coordinator has recorded the report, or with false when the retries have timed out. */
  async report (message: AttemptResultMessage, trace: TraceContext | undefined): Promise<boolean> {
    const { clock, random, logger } = this.#context
    const startedAtMs = clock.readMonotonicMs()
    this.#pending++
    for (let retry = 0; clock.readMonotonicMs() - startedAtMs < REPORT_RETRY_TIMEOUT_MS; retry++) {
      if (await this.#sendOnce(message, trace)) {
        this.#pending--
        return true
      }
      await new Promise<void>((resolve) => { clock.startTimer(computeBackoffMs(retry, REPORT_BACKOFF, random), resolve) })
    }
    this.#pending--
    logger.logError(DISPATCH_EVENTS.resultReportDropped, { requestId: message.requestId, attempt: message.attempt })
    return false
  }

  async #sendOnce (message: AttemptResultMessage, trace: TraceContext | undefined): Promise<boolean> {
    const { network, ownership } = this.#context
    const partition = findPartition(message.requestId)
    const coordinator = partition === undefined ? undefined : ownership.findOwner(partition)
    if (coordinator === undefined) return false
    const reply = await sendValidatedRequest(
      network, coordinator.instance, PEER_MESSAGE_KINDS.attemptResult, message, attemptResultReplySchema, REPORT_TIMEOUT_MS, trace
    )
    return reply.ok && reply.val.isRecorded
  }
}
